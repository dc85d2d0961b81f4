#include "fabric.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <charconv>
#include <utility>

#include "option_parser.hpp"

namespace stand_ins {

namespace {

std::uint64_t
HashEndpoint(const state::Endpoint& aEndpoint)
{
  return state::CombineHashes(aEndpoint.mAddress.mValue, aEndpoint.mPort);
}

// Chooses an instance as mSpray says; at least one must be listed.
state::Endpoint
ChooseInstance(Fabric& aFabric, const protocol::PacketHeader& aHeader)
{
  const auto& instances = aFabric.mInstances;
  const auto choice =
    aFabric.mSpray == Spray::Flow
      ? state::CombineHashes(HashEndpoint(aHeader.mSource),
                             HashEndpoint(aHeader.mDestination))
      : aFabric.mRandom();
  return instances[choice % instances.size()];
}

// Returns true with the given probability, 0 to 1.
bool
DrawBoolean(Fabric& aFabric, double aProbability)
{
  return aProbability > 0 &&
         std::uniform_real_distribution<>()(aFabric.mRandom) < aProbability;
}

// Appends a packet to the output, or schedules it if it is to be delayed.
void
SendOrDelay(Fabric& aFabric, Delivery aDelivery, state::TimePoint aNow)
{
  auto delay =
    std::chrono::duration_cast<state::Duration>(aFabric.mImpairments.mDelay);
  if (DrawBoolean(aFabric, aFabric.mImpairments.mReorder)) {
    delay += aFabric.mImpairments.mReorderDelay;
    ++aFabric.mCounters["reordered"];
  }
  if (delay.count() == 0) {
    aFabric.mOutput.push_back(std::move(aDelivery));
    return;
  }
  const auto id = aFabric.mNextDelayedId++;
  aFabric.mDelayed.emplace(id, std::move(aDelivery));
  Schedule(aFabric.mTimers, aNow + delay, id);
}

} // namespace

state::Result<Prefix>
ParsePrefix(std::string_view aText)
{
  const auto slash = aText.find('/');
  const auto address = state::ParseIpv4Address(aText.substr(0, slash));
  int bits = -1;
  if (slash != std::string_view::npos) {
    const auto digits = aText.substr(slash + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), bits);
  }
  if (!address || bits < 1 || bits > 32) {
    return sassafrasknotctl::InvalidArgument(
      "\"" + std::string(aText) +
      "\" is not an address range IP/BITS with 1 to 32 bits");
  }
  return Prefix{ address.value(), bits };
}

bool
Contains(const Prefix& aPrefix, state::Ipv4Address aAddress)
{
  return ((aAddress.mValue ^ aPrefix.mAddress.mValue) >>
          (32 - aPrefix.mBits)) == 0;
}

std::optional<state::Endpoint>
ChooseDestination(Fabric& aFabric, const protocol::PacketHeader& aHeader)
{
  const bool fromUpstream =
    Contains(aFabric.mUpstreamPrefix, aHeader.mSource.mAddress);
  if (!fromUpstream &&
      Contains(aFabric.mUpstreamPrefix, aHeader.mDestination.mAddress)) {
    return aFabric.mUpstreams;
  }
  if (!fromUpstream &&
      Contains(aFabric.mCallerPrefix, aHeader.mDestination.mAddress)) {
    return aFabric.mCallers;
  }
  if (aFabric.mInstances.empty()) {
    return std::nullopt;
  }
  return ChooseInstance(aFabric, aHeader);
}

void
OnDatagram(Fabric& aFabric,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow)
{
  const auto packet = protocol::ParsePacket(aBytes);
  if (!packet) {
    ++aFabric.mCounters["malformed"];
    return;
  }
  ++aFabric.mCounters["packets"];
  const int copies =
    DrawBoolean(aFabric, aFabric.mImpairments.mDuplicate) ? 2 : 1;
  if (copies == 2) {
    ++aFabric.mCounters["duplicated"];
  }
  for (int i = 0; i < copies; ++i) {
    if (DrawBoolean(aFabric, aFabric.mImpairments.mDrop)) {
      ++aFabric.mCounters["dropped"];
      continue;
    }
    const auto destination = ChooseDestination(aFabric, packet.value().mHeader);
    if (!destination) {
      ++aFabric.mCounters["no_instance"];
      continue;
    }
    SendOrDelay(
      aFabric, { { aBytes.begin(), aBytes.end() }, *destination }, aNow);
  }
}

void
OnTick(Fabric& aFabric, state::TimePoint aNow)
{
  while (const auto due = PopDue(aFabric.mTimers, aNow)) {
    auto delayed = aFabric.mDelayed.extract(due->second);
    aFabric.mOutput.push_back(std::move(delayed.mapped()));
  }
}

} // namespace stand_ins
