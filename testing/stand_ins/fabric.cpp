#include "fabric.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <charconv>
#include <utility>

#include "option_parser.hpp"

namespace stand_ins {

namespace {

std::uint64_t
HashOf(const state::Endpoint& aEndpoint)
{
  return state::CombineHashes(aEndpoint.mAddress.mValue, aEndpoint.mPort);
}

state::Endpoint
ChooseInstance(Fabric& aFabric, const protocol::PacketHeader& aHeader)
{
  const auto& instances = aFabric.mInstances;
  const auto choice = aFabric.mSpray == Spray::Flow
                        ? state::CombineHashes(HashOf(aHeader.mSource),
                                               HashOf(aHeader.mDestination))
                        : aFabric.mRandom();
  return instances[choice % instances.size()];
}

bool
Happens(Fabric& aFabric, double aProbability)
{
  return aProbability > 0 &&
         std::uniform_real_distribution<>()(aFabric.mRandom) < aProbability;
}

void
Deliver(Fabric& aFabric, Delivery aDelivery, state::TimePoint aNow)
{
  auto delay =
    std::chrono::duration_cast<state::Duration>(aFabric.mImpairments.mDelay);
  if (Happens(aFabric, aFabric.mImpairments.mReorder)) {
    delay += aFabric.mImpairments.mReorderDelay;
    ++aFabric.mCounters["reordered"];
  }
  if (delay.count() == 0) {
    aFabric.mOutput.push_back(std::move(aDelivery));
    return;
  }
  const auto number = aFabric.mNextDelayed++;
  aFabric.mDelayed.emplace(number, std::move(aDelivery));
  Schedule(aFabric.mTimers, aNow + delay, number);
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
    return sassafrasknotctl::InvalidArgument("\"" + std::string(aText) +
                                             "\" is not IP/BITS");
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
RouteOf(Fabric& aFabric, const protocol::PacketHeader& aHeader)
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
  const int copies = Happens(aFabric, aFabric.mImpairments.mDuplicate) ? 2 : 1;
  if (copies == 2) {
    ++aFabric.mCounters["duplicated"];
  }
  for (int i = 0; i < copies; ++i) {
    if (Happens(aFabric, aFabric.mImpairments.mDrop)) {
      ++aFabric.mCounters["dropped"];
      continue;
    }
    const auto destination = RouteOf(aFabric, packet.value().mHeader);
    if (!destination) {
      ++aFabric.mCounters["no_instance"];
      continue;
    }
    Deliver(aFabric, { { aBytes.begin(), aBytes.end() }, *destination }, aNow);
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
