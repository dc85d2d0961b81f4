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

/// @brief Local and remote end of a connection.
using ConnectionKey = std::pair<state::Endpoint, state::Endpoint>;

/// @brief What a connection does at present.
enum class Stage : std::uint8_t
{
  Reading, ///< The request is not complete.
  Waiting, ///< All slots are taken.
  Running,
  Feeding,
  Answered,
};

/// @brief One connection of an upstream.
struct ServerConnection
{
  sassafrasknotctl::TcpConnection mTcp;
  Stage mStage = Stage::Reading;
  std::optional<sassafrasknotctl::Request> mRequest;
  std::uint64_t mChecksum = 0;
  std::uint64_t mSequence = 0;
  /// When the request is done or the next message of the feed is due.
  std::optional<state::TimePoint> mDue;
  std::optional<state::TimePoint> mWakeAt;
  std::optional<state::TimePoint> mRemoveAt;
};

/// @brief What an upstream has seen.
struct UpstreamTotals
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mRan = 0;
  std::uint64_t mRanTwice = 0;
  /// Requests for another organisation or service.
  std::uint64_t mMisrouted = 0;
  /// Connections that a reset or a time-out ended.
  std::uint64_t mReset = 0;
  /// Segments of connections that are not known, answered with a reset.
  std::uint64_t mUnknown = 0;
  /// Largest number of requests that waited for a slot.
  std::uint64_t mLongestQueue = 0;
  std::optional<state::TimePoint> mLastAccepted;
};

/// @brief One upstream with its slots.
struct UpstreamServer
{
  UpstreamSettings mSettings;
  state::TimePoint mStarted;
  std::uint32_t mOpen = 0;
  std::uint32_t mRunning = 0;
  std::deque<ConnectionKey> mWaiting;
  UpstreamTotals mTotals;
};

/// @brief All upstreams of the stand-in; knows neither sockets nor clocks.
struct UpstreamSet
{
  std::map<state::Ipv4Address, UpstreamServer> mUpstreams;
  std::map<ConnectionKey, ServerConnection> mConnections;
  sassafrasknotctl::TimerQueue<ConnectionKey> mTimers;
  /// How often each request that is no feed has run, over all upstreams.
  std::map<std::uint64_t, std::uint32_t> mRuns;
  sassafrasknotctl::TcpSettings mTcp;
  std::mt19937_64 mRandom;
  /// Packets to be sent.
  std::vector<protocol::Bytes> mOutput;
};

/// @brief Takes new settings. Upstreams that are no longer listed go down.
/// @param aSet the upstreams
/// @param aSettings the settings of all upstreams
/// @param aNow the time
void
Configure(UpstreamSet& aSet,
          const std::vector<UpstreamSettings>& aSettings,
          state::TimePoint aNow);

/// @brief Takes a packet.
/// @param aSet the upstreams
/// @param aBytes the packet
/// @param aNow the time
void
OnDatagram(UpstreamSet& aSet,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow);

/// @brief Ends requests that are due, sends feed messages and runs timers.
/// @param aSet the upstreams
/// @param aNow the time
void
OnTick(UpstreamSet& aSet, state::TimePoint aNow);

/// @brief Writes what all upstreams have seen.
/// @param aSet the upstreams
/// @param aNow the time
/// @return a JSON object with "totals" and "upstreams"
std::string
ToJson(const UpstreamSet& aSet, state::TimePoint aNow);

} // namespace stand_ins

#endif
