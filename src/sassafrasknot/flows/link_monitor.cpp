#include "sassafrasknot/flows/link_monitor.hpp"

#include <algorithm>
#include <cmath>

namespace sassafrasknot::flows {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kBytesPerMbit = 125000;
/// Share of the link that packets to upstreams can use. The rest carries
/// messages between instances and the store's answers.
constexpr double kUsableShare = 0.9;

/// Returns the bytes that still wait at a time.
double
BacklogAt(const LinkMonitor& aMonitor, state::TimePoint aNow)
{
  const double sent =
    Seconds(aNow - aMonitor.mBacklogAt).count() * aMonitor.mBytesPerSecond;
  return std::max(aMonitor.mBacklogBytes - sent, 0.0);
}

/// Returns how much of a number of handshakes counts after a time.
double
DecayFactor(const LinkMonitor& aMonitor, state::TimePoint aNow)
{
  return std::exp(-Seconds(aNow - aMonitor.mHandshakesAt) /
                  Seconds(kHandshakeMemory));
}

} // namespace

LinkMonitor
MakeLinkMonitor(double aMbitPerSecond)
{
  LinkMonitor monitor;
  monitor.mBytesPerSecond = aMbitPerSecond * kBytesPerMbit * kUsableShare;
  return monitor;
}

void
RecordForwarded(LinkMonitor& aMonitor,
                std::uint32_t aPayloadBytes,
                state::TimePoint aNow)
{
  if (aMonitor.mBytesPerSecond <= 0) {
    return;
  }
  aMonitor.mBacklogBytes =
    BacklogAt(aMonitor, aNow) + kPacketHeaderBytes + aPayloadBytes;
  aMonitor.mBacklogAt = aNow;
}

void
RecordHandshake(LinkMonitor& aMonitor,
                state::Duration aDuration,
                state::TimePoint aNow)
{
  const double factor = DecayFactor(aMonitor, aNow);
  aMonitor.mSlowHandshakes *= factor;
  aMonitor.mFastHandshakes *= factor;
  aMonitor.mHandshakesAt = aNow;
  (aDuration > kSlowHandshake ? aMonitor.mSlowHandshakes
                              : aMonitor.mFastHandshakes) += 1;
}

bool
HasSlowHandshakes(const LinkMonitor& aMonitor, state::TimePoint aNow)
{
  const double handshakes = aMonitor.mSlowHandshakes + aMonitor.mFastHandshakes;
  return aMonitor.mSlowHandshakes * DecayFactor(aMonitor, aNow) > 0.5 &&
         aMonitor.mSlowHandshakes > kMaxSlowHandshakeShare * handshakes;
}

bool
MayDropPacket(const LinkMonitor& aMonitor, state::TimePoint aNow)
{
  return aMonitor.mBytesPerSecond > 0 &&
         BacklogAt(aMonitor, aNow) > kSafeQueueBytes;
}

bool
IsCongested(const LinkMonitor& aMonitor, state::TimePoint aNow)
{
  const bool hasBacklog =
    aMonitor.mBytesPerSecond > 0 &&
    BacklogAt(aMonitor, aNow) >
      Seconds(kCongestedBacklog).count() * aMonitor.mBytesPerSecond;
  return hasBacklog || HasSlowHandshakes(aMonitor, aNow);
}

} // namespace sassafrasknot::flows
