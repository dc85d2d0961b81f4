#ifndef SASSAFRASKNOT_STAND_INS_UPSTREAM_SET_HPP
#define SASSAFRASKNOT_STAND_INS_UPSTREAM_SET_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "load_messages.hpp"
#include "tcp_connection.hpp"
#include "timer_queue.hpp"
#include "upstream_settings.hpp"

namespace stand_ins {

namespace protocol = sassafrasknot::protocol;

/// @brief Endpoints of a connection: the upstream, then its peer.
using ConnectionKey = std::pair<state::Endpoint, state::Endpoint>;

/// @brief Progress of the request of a connection.
enum class ConnectionState : std::uint8_t
{
  Reading,  ///< The request is incomplete.
  Queued,   ///< The request waits for a slot.
  Running,  ///< The request takes a slot.
  Feeding,  ///< Messages of a feed are sent periodically; needs no slot.
  Answered, ///< The answer was sent.
};

/// @brief One connection of an upstream. A connection carries one request.
struct ServerConnection
{
  sassafrasknotctl::TcpConnection mTcp;
  ConnectionState mState = ConnectionState::Reading;
  std::optional<sassafrasknotctl::Request> mRequest;
  /// Checksum of the uploaded bytes.
  std::uint64_t mChecksum = 0;
  /// Sequence number of the next feed message.
  std::uint64_t mSequence = 0;
  /// When the request completes or the next feed message is due.
  std::optional<state::TimePoint> mDue;
  /// Time of the earliest pending timer of this connection.
  std::optional<state::TimePoint> mWakeAt;
  /// When the ended connection is removed; unset while it is open.
  std::optional<state::TimePoint> mRemoveAt;
};

/// @brief Counters of an upstream.
struct UpstreamTotals
{
  /// Accepted connections.
  std::uint64_t mAccepted = 0;
  /// Connections refused with a reset.
  std::uint64_t mRefused = 0;
  /// Started requests, without feeds.
  std::uint64_t mRan = 0;
  /// Requests whose second run, at any upstream, started here.
  std::uint64_t mRanTwice = 0;
  /// Requests for another organisation or service than those of the upstream.
  std::uint64_t mMisrouted = 0;
  /// Connections that ended otherwise than by FIN: by a reset or a time-out.
  std::uint64_t mResets = 0;
  /// Segments of unknown connections, which were answered with a reset.
  std::uint64_t mUnknownSegments = 0;
  /// Maximum length of UpstreamServer::mQueue.
  std::uint64_t mMaxQueueLength = 0;
  /// When the newest connection was accepted.
  std::optional<state::TimePoint> mLastAccepted;
};

/// @brief One upstream with its requests.
struct UpstreamServer
{
  UpstreamSettings mSettings;
  /// When the upstream was first listed, which starts its warm-up.
  state::TimePoint mStarted;
  /// Connections that have not ended.
  std::uint32_t mOpenConnections = 0;
  /// Requests that take a slot.
  std::uint32_t mActiveRequests = 0;
  /// Connections whose request waits for a slot; can contain ended ones.
  std::deque<ConnectionKey> mQueue;
  UpstreamTotals mTotals;
};

/// @brief All simulated upstreams. They use neither sockets nor clocks: the
/// program passes in datagrams and times, and sends mOutput.
struct UpstreamSet
{
  std::map<state::Ipv4Address, UpstreamServer> mUpstreams;
  std::map<ConnectionKey, ServerConnection> mConnections;
  sassafrasknotctl::TimerQueue<ConnectionKey> mTimers;
  /// Number of runs of each request by identifier, over all upstreams. Feeds
  /// are not counted.
  std::map<std::uint64_t, std::uint32_t> mRuns;
  sassafrasknotctl::TcpSettings mTcp;
  std::mt19937_64 mRandom;
  /// Packets to be sent.
  std::vector<protocol::Bytes> mOutput;
};

/// @brief Applies new settings. Upstreams that are no longer listed change to
/// UpstreamMode::Down and keep their connections and counters.
/// @param aSet upstreams to update
/// @param aSettings settings of all upstreams
/// @param aNow current time on the steady clock; start of added upstreams
void
Configure(UpstreamSet& aSet,
          const std::vector<UpstreamSettings>& aSettings,
          state::TimePoint aNow);

/// @brief Handles a packet to an upstream. Malformed packets and those to
/// unknown or down upstreams are ignored.
/// @param aSet upstreams to update
/// @param aBytes IP packet
/// @param aNow current time on the steady clock
void
OnDatagram(UpstreamSet& aSet,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow);

/// @brief Completes requests that are due, sends feed messages and runs the
/// timers of TCP.
/// @param aSet upstreams to update
/// @param aNow current time on the steady clock
void
OnTick(UpstreamSet& aSet, state::TimePoint aNow);

/// @brief Formats the counters of all upstreams.
/// @param aSet upstreams to report
/// @param aNow current time on the steady clock, for ages
/// @return JSON object with "totals" (sums) and "upstreams" (by address)
std::string
ToJson(const UpstreamSet& aSet, state::TimePoint aNow);

} // namespace stand_ins

#endif
