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

/// @brief Stand-ins: test programs that replace the systems around the load
/// balancer, which are the packet fabric (the network between callers,
/// instances and upstreams), the upstreams and the configuration service of the
/// platform.
namespace stand_ins {

namespace protocol = sassafrasknot::protocol;
namespace state = sassafrasknot::state;

/// @brief A range of IPv4 addresses such as 127.20.0.0/16.
struct Prefix
{
  state::Ipv4Address mAddress;
  /// Length of the common prefix, 1 to 32.
  int mBits = 16;
};

/// @brief Parses a range such as "127.20.0.0/16".
/// @param aText IP/BITS, with 1 to 32 bits
/// @return the range, or InvalidArgument
state::Result<Prefix>
ParsePrefix(std::string_view aText);

/// @brief Returns whether a range contains an address.
/// @param aPrefix range to search
/// @param aAddress address to look for
/// @return whether the first mBits bits of both are equal
bool
Contains(const Prefix& aPrefix, state::Ipv4Address aAddress);

/// @brief How the fabric distributes packets over the instances.
enum class Spray : std::uint8_t
{
  Packet, ///< Each packet goes to an instance chosen at random.
  /// The hash of source and destination selects the instance, so that a flow
  /// stays on one instance as long as the list of instances does not change.
  Flow,
};

/// @brief Faults that the fabric injects. Probabilities are from 0 to 1.
struct Impairments
{
  /// Probability that a packet, or each copy of a duplicated one, is lost.
  double mDrop = 0;
  /// Probability that a packet is sent twice.
  double mDuplicate = 0;
  /// Probability that a packet is delayed by a further mReorderDelay, so that
  /// later packets overtake it.
  double mReorder = 0;
  std::chrono::milliseconds mReorderDelay{ 5 };
  /// Delay of all packets.
  std::chrono::microseconds mDelay{};
};

/// @brief A packet and the UDP endpoint to which it is sent.
struct Delivery
{
  protocol::Bytes mBytes;
  state::Endpoint mDestination;
};

/// @brief State of the fabric, which routes packets between callers, instances
/// and upstreams and injects faults. It uses neither sockets nor clocks: the
/// program passes in datagrams and times, and sends mOutput.
struct Fabric
{
  /// UDP endpoint of the load tool, which simulates the callers.
  state::Endpoint mCallers;
  /// UDP endpoint of the program that simulates the upstreams.
  state::Endpoint mUpstreams;
  Prefix mCallerPrefix;
  Prefix mUpstreamPrefix;
  Spray mSpray = Spray::Packet;
  Impairments mImpairments;
  /// UDP endpoints of the instances that receive packets.
  std::vector<state::Endpoint> mInstances;
  /// Source of the faults and of the random choices of instances.
  std::mt19937_64 mRandom;
  /// Delayed packets by an identifier that the timers refer to.
  std::map<std::uint64_t, Delivery> mDelayed;
  sassafrasknotctl::TimerQueue<std::uint64_t> mTimers;
  std::uint64_t mNextDelayedId = 0;
  /// Counters by name: packets, malformed, duplicated, dropped, reordered and
  /// no_instance (packets for an instance while none was listed).
  std::map<std::string, std::uint64_t> mCounters;
  /// Packets to be sent now.
  std::vector<Delivery> mOutput;
};

/// @brief Chooses the UDP endpoint for a packet. All packets from upstreams go
/// to an instance. Other packets go to the upstreams or to the callers if their
/// destination is in the range of these, and to an instance otherwise.
/// @param aFabric supplies the ranges, the endpoints and random numbers
/// @param aHeader header of the packet
/// @return the endpoint, or nothing if an instance is needed and none is listed
std::optional<state::Endpoint>
ChooseDestination(Fabric& aFabric, const protocol::PacketHeader& aHeader);

/// @brief Applies the impairments to a packet and adds it to mOutput or, if it
/// is delayed, to mDelayed. Malformed packets are dropped, and so are those for
/// an instance if none is listed.
/// @param aFabric receives the packet and counts it
/// @param aBytes IP packet
/// @param aNow current time on the steady clock
void
OnDatagram(Fabric& aFabric,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow);

/// @brief Moves the delayed packets that are due to mOutput.
/// @param aFabric holds the delayed packets
/// @param aNow current time on the steady clock
void
OnTick(Fabric& aFabric, state::TimePoint aNow);

} // namespace stand_ins

#endif
