#include "sassafrasknot/flows/capacity_admission.hpp"

#include "sassafrasknot/flows/upstream_table.hpp"

#include <algorithm>
#include <cmath>

namespace sassafrasknot::flows {
namespace {

/// Returns the own active requests below which a flow of a class is admitted.
double
LimitOf(double aOwnLimit, PriorityClass aClass)
{
  return aClass == PriorityClass::Urgent
           ? aOwnLimit
           : std::max(aOwnLimit * kOtherPriorityShare, kMinLimit);
}

bool
IsExpired(const CapacityLimit& aLimit, state::TimePoint aNow)
{
  return aNow - aLimit.mLastRejection > kLimitRetention;
}

} // namespace

void
ApplyPriorities(CapacityAdmission& aAdmission,
                const Configuration& aConfiguration)
{
  aAdmission.mServices.clear();
  for (const auto& [endpoint, route] : aConfiguration.mRoutes) {
    for (const auto& service : route.mServices) {
      const auto [found, isNew] =
        aAdmission.mServices.try_emplace(service.mService);
      auto& urgent = found->second.mUrgentPriority;
      urgent = isNew ? route.mPriority : std::min(urgent, route.mPriority);
    }
  }
}

PriorityClass
ClassOf(const CapacityAdmission& aAdmission,
        const Route& aRoute,
        std::string_view aService)
{
  const auto found = aAdmission.mServices.find(aService);
  return found == aAdmission.mServices.end() ||
             aRoute.mPriority <= found->second.mUrgentPriority
           ? PriorityClass::Urgent
           : PriorityClass::Other;
}

void
RecordRejection(CapacityAdmission& aAdmission,
                UpstreamRecord& aRecord,
                state::TimePoint aNow)
{
  auto& limit = aRecord.mCapacityLimit;
  ++aAdmission.mRejections;
  ++limit.mRejections;
  if (!limit.mOwnLimit || IsExpired(limit, aNow)) {
    limit.mOwnLimit =
      std::max<double>(aRecord.mOwnLoad.mActiveRequests, kMinLimit);
    limit.mLastReduction = aNow;
    aAdmission.mLimited.insert(aRecord.mToken);
  } else if (aNow - limit.mLastReduction >= kReductionInterval) {
    limit.mOwnLimit = std::max(*limit.mOwnLimit * kLimitReduction, kMinLimit);
    limit.mLastReduction = aNow;
  }
  limit.mLastRejection = aNow;
}

void
RecordCompletion(UpstreamRecord& aRecord, state::TimePoint aNow)
{
  auto& limit = aRecord.mCapacityLimit;
  if (!limit.mOwnLimit || IsExpired(limit, aNow)) {
    return;
  }
  // Reached for some class: with flows of other than the most urgent priority
  // alone, the number of active requests hardly exceeds their share.
  const double active = aRecord.mOwnLoad.mActiveRequests + 1.0;
  if (active >= LimitOf(*limit.mOwnLimit, PriorityClass::Other)) {
    *limit.mOwnLimit += 1 / *limit.mOwnLimit;
  }
}

bool
HasCapacity(const UpstreamRecord& aRecord,
            PriorityClass aClass,
            state::TimePoint aNow)
{
  const auto& limit = aRecord.mCapacityLimit;
  return !limit.mOwnLimit || IsExpired(limit, aNow) ||
         aRecord.mFailureDetector.mLiveness != Liveness::Responsive ||
         aRecord.mOwnLoad.mActiveRequests < LimitOf(*limit.mOwnLimit, aClass);
}

bool
RecordCapacityOutcome(ServiceCapacity& aService,
                      bool aHasCapacity,
                      state::TimePoint aNow)
{
  const double factor =
    std::exp(-std::chrono::duration<double>(aNow - aService.mOutcomesAt) /
             kOutcomeMemory);
  aService.mWithCapacity *= factor;
  aService.mWithoutCapacity *= factor;
  aService.mOutcomesAt = aNow;
  (aHasCapacity ? aService.mWithCapacity : aService.mWithoutCapacity) += 1;
  const double outcomes = aService.mWithCapacity + aService.mWithoutCapacity;
  return outcomes >= kMinOutcomes &&
         aService.mWithoutCapacity > kOverloadedShare * outcomes;
}

void
UpdateCapacity(CapacityAdmission& aAdmission,
               UpstreamTable& aTable,
               state::TimePoint aNow)
{
  for (auto& [service, capacity] : aAdmission.mServices) {
    capacity.mLimitedUpstreams = 0;
  }
  std::erase_if(aAdmission.mLimited, [&](UpstreamToken aToken) {
    auto* record = FindUpstream(aTable, aToken);
    if (record == nullptr || !record->mCapacityLimit.mOwnLimit) {
      return true;
    }
    if (IsExpired(record->mCapacityLimit, aNow)) {
      record->mCapacityLimit.mOwnLimit.reset();
      return true;
    }
    if (const auto found =
          aAdmission.mServices.find(record->mUpstream.mService);
        found != aAdmission.mServices.end()) {
      ++found->second.mLimitedUpstreams;
    }
    return false;
  });
}

} // namespace sassafrasknot::flows
