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
  "freeze-reader",
  "silence-upstreams",
  "evacuate",
  "delay-upstreams",
  "turn-readers-away"
};

/// Mean time between the starts of two faults. It is shorter than the longest
/// faults, so that some overlap.
constexpr milliseconds kMeanInterval{ 1500 };
/// Range of durations: some faults are shorter, some longer than the time after
/// which an instance counts as dead.
constexpr milliseconds kMinDuration{ 300 };
constexpr milliseconds kMaxDuration{ 5000 };

/// Times of a kind that is planned apart from the others.
struct SeparateKind
{
  FaultKind mKind;
  /// One fault starts in the first half of each interval.
  milliseconds mInterval;
  milliseconds mMinDuration;
  milliseconds mMaxDuration;
};

/// Evacuations last longer than the bound of 5 s after which they are checked.
/// Two of them do not overlap, since callers need one data centre in service.
/// Delays do not overlap either.
constexpr std::array<SeparateKind, kFaultKindCount - kFirstSeparateKind>
  kSeparateKinds{ {
    { FaultKind::FreezeReader,
      milliseconds(9000),
      milliseconds(3500),
      milliseconds(3500) },
    { FaultKind::SilenceUpstreams,
      milliseconds(7000),
      milliseconds(1000),
      milliseconds(4500) },
    { FaultKind::Evacuate,
      milliseconds(20000),
      milliseconds(8000),
      milliseconds(10000) },
    { FaultKind::DelayUpstreams,
      milliseconds(800),
      milliseconds(50),
      milliseconds(400) },
    { FaultKind::TurnReadersAway,
      milliseconds(16000),
      milliseconds(5000),
      milliseconds(6000) },
  } };

/// Adds the faults of a separate kind, at random times within each interval.
void
AddSeparateFaults(std::vector<Fault>& aPlan,
                  const SeparateKind& aKind,
                  std::uint64_t aSeed,
                  milliseconds aLength)
{
  // Each kind has random numbers of its own, so that a new kind does not change
  // the plans of the others.
  const auto number =
    static_cast<std::uint64_t>(aKind.mKind) - kFirstSeparateKind;
  std::mt19937_64 random(aSeed + (number << 32U));
  const auto pick = [&random](std::int64_t aFrom, std::int64_t aTo) {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(random);
  };
  for (milliseconds start{ 0 }; start < aLength; start += aKind.mInterval) {
    const auto time =
      start + milliseconds(pick(0, aKind.mInterval.count() / 2));
    if (time >= aLength) {
      break;
    }
    const auto target = static_cast<std::size_t>(pick(0, 1000));
    auto duration = aKind.mMinDuration;
    if (duration < aKind.mMaxDuration) {
      duration =
        milliseconds(pick(duration.count(), aKind.mMaxDuration.count()));
    }
    aPlan.push_back({ aKind.mKind, time, duration, target });
  }
}

/// Returns whether a plan contains a separate kind.
bool
IsIncluded(FaultKind aKind,
           bool aIsPlannedOnly,
           std::optional<FaultKind> aOnlyKind)
{
  if (aOnlyKind) {
    return aKind == *aOnlyKind || (*aOnlyKind == FaultKind::DelayUpstreams &&
                                   aKind == FaultKind::SilenceUpstreams);
  }
  return IsPlanned(aKind) || !aIsPlannedOnly;
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
  return static_cast<std::size_t>(aKind) < kFirstUnplannedKind ||
         aKind == FaultKind::Evacuate;
}

std::optional<FaultKind>
FindSeparateKind(std::string_view aName)
{
  for (const auto& each : kSeparateKinds) {
    if (ToString(each.mKind) == aName) {
      return each.mKind;
    }
  }
  return std::nullopt;
}

std::vector<Fault>
MakePlan(std::uint64_t aSeed,
         milliseconds aLength,
         std::optional<FaultKind> aOnlyKind)
{
  std::mt19937_64 random(aSeed);
  const auto pick = [&random](std::int64_t aFrom, std::int64_t aTo) {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(random);
  };
  std::vector<Fault> plan;
  // Every third seed gives planned work only. It does not excuse broken flows,
  // except those at an upstream that has drained and stopped.
  const bool isPlannedOnly = aSeed % 3 == 0 || aOnlyKind;
  const auto kindCount = static_cast<std::int64_t>(
    isPlannedOnly ? kFirstUnplannedKind : kFirstSeparateKind);
  const auto nextInterval = [&pick] {
    return milliseconds(pick(0, 2 * kMeanInterval.count()));
  };
  for (auto start = nextInterval(); start < aLength; start += nextInterval()) {
    plan.push_back(
      { static_cast<FaultKind>(pick(0, kindCount - 1)),
        start,
        milliseconds(pick(kMinDuration.count(), kMaxDuration.count())),
        static_cast<std::size_t>(pick(0, 1000)) });
  }
  for (const auto& kind : kSeparateKinds) {
    if (IsIncluded(kind.mKind, isPlannedOnly, aOnlyKind)) {
      AddSeparateFaults(plan, kind, aSeed, aLength);
    }
  }
  std::ranges::stable_sort(plan, {}, &Fault::mStart);
  return plan;
}

} // namespace soak
