#include "plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace soak {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, kFaultKinds> kNames{
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
  "restart-upstream"
};

/// Mean time between the starts of two faults, so that some overlap.
constexpr milliseconds kMeanPause{ 1500 };
/// Faults last between these times: some shorter, some longer than the times
/// after which instances are taken for dead.
constexpr milliseconds kShortest{ 300 };
constexpr milliseconds kLongest{ 5000 };

} // namespace

std::string_view
ToString(FaultKind aKind)
{
  return kNames[static_cast<std::size_t>(aKind)];
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
  // Every third run has planned work only, which excuses nothing.
  const bool isPlanned = aSeed % 3 == 0;
  const auto kinds =
    static_cast<std::int64_t>(isPlanned ? kFirstUnplannedKind : kFaultKinds);
  for (milliseconds at{ 0 };;) {
    at += milliseconds(pick(0, 2 * kMeanPause.count()));
    if (at >= aLength) {
      return plan;
    }
    plan.push_back({ static_cast<FaultKind>(pick(0, kinds - 1)),
                     at,
                     milliseconds(pick(kShortest.count(), kLongest.count())),
                     static_cast<std::size_t>(pick(0, 1000)) });
  }
}

} // namespace soak
