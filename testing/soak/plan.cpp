#include "plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace soak {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, kFaultKindCount> kFaultNames{
  "terminate",
  "reload",
  "add-route",
  "remove-route",
  "replace-upstream",
  "kill",
  "kill-all",
  "pause",
  "lossy",
  "cut-instance",
  "cut-one-way",
  "cut-data-centre",
  "store-down",
  "store-silent",
  "store-slow",
  "store-forgets",
  "silence-connections",
  "reset-connections",
  "crash-upstream",
  "restart-upstream",
  "freeze-reader"
};

/// Mean time between the starts of two faults. It is shorter than the longest
/// faults, so that some overlap.
constexpr milliseconds kMeanInterval{ 1500 };
/// Range of durations: some faults are shorter, some longer than the time after
/// which an instance counts as dead.
constexpr milliseconds kMinDuration{ 300 };
constexpr milliseconds kMaxDuration{ 5000 };
/// Time between two faults FreezeReader, and their duration.
constexpr milliseconds kFreezeReaderInterval{ 9000 };
constexpr milliseconds kFreezeReaderDuration{ 3500 };

/// Adds the faults FreezeReader, at random times within each interval.
void
AddReaderFreezes(std::vector<Fault>& aPlan,
                 std::uint64_t aSeed,
                 milliseconds aLength)
{
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<std::int64_t> offset(
    0, kFreezeReaderInterval.count() / 2);
  std::uniform_int_distribution<std::size_t> target(0, 1000);
  for (milliseconds start{ 0 }; start < aLength;
       start += kFreezeReaderInterval) {
    const auto time = start + milliseconds(offset(random));
    if (time < aLength) {
      aPlan.push_back({ FaultKind::FreezeReader,
                        time,
                        kFreezeReaderDuration,
                        target(random) });
    }
  }
  std::ranges::stable_sort(aPlan, {}, &Fault::mStart);
}

} // namespace

std::string_view
ToString(FaultKind aKind)
{
  return kFaultNames[static_cast<std::size_t>(aKind)];
}

bool
IsPlanned(FaultKind aKind)
{
  return static_cast<std::size_t>(aKind) < kFirstUnplannedKind;
}

std::vector<Fault>
MakePlan(std::uint64_t aSeed, milliseconds aLength)
{
  std::mt19937_64 random(aSeed);
  const auto pick = [&random](std::int64_t aFrom, std::int64_t aTo) {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(random);
  };
  std::vector<Fault> plan;
  // Every third seed gives planned work only. It does not excuse broken flows,
  // except those at an upstream that has drained and stopped.
  const bool isPlannedOnly = aSeed % 3 == 0;
  const auto kindCount = static_cast<std::int64_t>(
    isPlannedOnly ? kFirstUnplannedKind : kFirstSeparateKind);
  for (milliseconds start{ 0 };;) {
    start += milliseconds(pick(0, 2 * kMeanInterval.count()));
    if (start >= aLength) {
      if (!isPlannedOnly) {
        AddReaderFreezes(plan, aSeed, aLength);
      }
      return plan;
    }
    plan.push_back(
      { static_cast<FaultKind>(pick(0, kindCount - 1)),
        start,
        milliseconds(pick(kMinDuration.count(), kMaxDuration.count())),
        static_cast<std::size_t>(pick(0, 1000)) });
  }
}

} // namespace soak
