#ifndef SASSAFRASKNOT_STAND_INS_FABRIC_HPP
#define SASSAFRASKNOT_STAND_INS_FABRIC_HPP

#include "sassafrasknot/protocol/packet.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "timer_queue.hpp"

/// @brief Stand-ins for the systems around the project.
namespace stand_ins {

namespace protocol = sassafrasknot::protocol;
namespace state = sassafrasknot::state;

/// @brief An address range such as 127.20.0.0/16.
struct Prefix
{
  state::Ipv4Address mAddress;
  int mBits = 16;
};

/// @brief Reads a range such as "127.20.0.0/16".
/// @param aText the text
/// @return the range, or InvalidArgument
state::Result<Prefix>
ParsePrefix(std::string_view aText);

/// @brief Returns whether a range contains an address.
/// @param aPrefix the range
/// @param aAddress the address
bool
Contains(const Prefix& aPrefix, state::Ipv4Address aAddress);

/// @brief How the fabric chooses an instance.
enum class Spray : std::uint8_t
{
  Packet, ///< Each packet goes to a random instance.
  Flow,   ///< All packets of a flow go to one instance while the list stays.
};

/// @brief What the fabric does to packets, as probabilities from 0 to 1.
struct Impairments
{
  double mDrop = 0;
  double mDuplicate = 0;
  /// Part of the packets that wait for mReorderDelay and are overtaken.
  double mReorder = 0;
  std::chrono::milliseconds mReorderDelay{ 5 };
  /// Delay of every packet.
  std::chrono::microseconds mDelay{};
};

/// @brief A packet on its way.
struct Delivery
{
  protocol::Bytes mBytes;
  state::Endpoint mDestination;
};

/// @brief Routing and impairments; knows neither sockets nor clocks.
struct Fabric
{
  state::Endpoint mCallers;
  state::Endpoint mUpstreams;
  Prefix mCallerPrefix;
  Prefix mUpstreamPrefix;
  Spray mSpray = Spray::Packet;
  Impairments mImpairments;
  std::vector<state::Endpoint> mInstances;
  std::mt19937_64 mRandom;
  std::map<std::uint64_t, Delivery> mDelayed;
  sassafrasknotctl::TimerQueue<std::uint64_t> mTimers;
  std::uint64_t mNextDelayed = 0;
  std::map<std::string, std::uint64_t> mCounters;
  /// Packets to be sent now.
  std::vector<Delivery> mOutput;
};

/// @brief Decides where a packet goes: from upstreams and to services to an
/// instance, to upstream addresses to the upstreams, to callers to the callers.
/// @param aFabric the fabric
/// @param aHeader header of the packet
/// @return the destination, or nothing without live instances
std::optional<state::Endpoint>
RouteOf(Fabric& aFabric, const protocol::PacketHeader& aHeader);

/// @brief Takes a packet.
/// @param aFabric the fabric
/// @param aBytes the packet
/// @param aNow the time
void
OnDatagram(Fabric& aFabric,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow);

/// @brief Releases delayed packets that are due.
/// @param aFabric the fabric
/// @param aNow the time
void
OnTick(Fabric& aFabric, state::TimePoint aNow);

} // namespace stand_ins

#endif
