#include "sassafrasknot/coordination/organisation_share.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace sassafrasknot::coordination {
namespace {

constexpr std::chrono::milliseconds kAllocationInterval{ 100 };
/// Part of its share by weight that is reserved for an idle organisation, so
/// that it can open flows while others fill the table. Entries of open flows
/// cannot be reclaimed for it.
constexpr double kReserve = 0.1;
/// Factor by which the demand for new flows may grow until the next allocation;
/// it also allows for uneven arrival.
constexpr double kGrowth = 1.2;
/// Burst of new flows under overload, in seconds at the organisation's rate.
constexpr double kBurstSeconds = 0.1;

double
SumOfWeights(const std::vector<ShareDemand>& aDemands)
{
  return std::accumulate(
    aDemands.begin(),
    aDemands.end(),
    0.0,
    [](double aSum, const auto& aDemand) { return aSum + aDemand.mWeight; });
}

/// Allocates by max-min fairness and adds what is left over by weight, so that
/// demand that grows before the next allocation finds room.
std::vector<double>
AllocateAll(double aCapacity, const std::vector<ShareDemand>& aDemands)
{
  auto shares = AllocateMaxMinFair(aCapacity, aDemands);
  const double allocated = std::accumulate(shares.begin(), shares.end(), 0.0);
  const double left = std::max(0.0, aCapacity - allocated);
  const double weights = SumOfWeights(aDemands);
  for (std::size_t index = 0; index < shares.size(); ++index) {
    shares[index] += left * aDemands[index].mWeight / weights;
  }
  return shares;
}

/// Allocates table entries and rates of new flows according to the use since
/// the last allocation.
void
Allocate(OrganisationShares& aShares, state::TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aShares.mLastAllocation;
  const double seconds = std::max(elapsed.count(), 1e-3);
  double weights = 0;
  for (const auto& [organisation, usage] : aShares.mUsages) {
    weights += usage.mWeight;
  }
  std::vector<ShareDemand> openFlowDemands;
  std::vector<ShareDemand> newFlowDemands;
  std::vector<OrganisationUsage*> usages;
  for (auto& [organisation, usage] : aShares.mUsages) {
    const double entriesByWeight =
      static_cast<double>(aShares.mTableSize) * usage.mWeight / weights;
    // Requested flows count twice: those of this interval, which may have been
    // refused, and as many again for the next interval.
    openFlowDemands.push_back(
      { usage.mWeight,
        std::max(
          static_cast<double>(usage.mOpenFlows + 2 * usage.mRequestedFlows),
          kReserve * entriesByWeight) });
    const double rateByWeight = aShares.mNewFlowRate * usage.mWeight / weights;
    const double requestedRate =
      static_cast<double>(usage.mRequestedFlows) / seconds;
    newFlowDemands.push_back(
      { usage.mWeight,
        std::max(kGrowth * requestedRate, kReserve * rateByWeight) });
    usages.push_back(&usage);
    usage.mRequestedFlows = 0;
  }
  const auto openFlowLimits =
    AllocateAll(static_cast<double>(aShares.mTableSize), openFlowDemands);
  const auto rates = AllocateAll(aShares.mNewFlowRate, newFlowDemands);
  for (std::size_t index = 0; index < usages.size(); ++index) {
    auto& bucket = usages[index]->mNewFlowBucket;
    usages[index]->mOpenFlowLimit = openFlowLimits[index];
    // Adds the tokens due at the old rate before the rate changes.
    TryConsume(bucket, 0, aNow);
    bucket.mRate = rates[index];
    bucket.mBurst = std::max(1.0, rates[index] * kBurstSeconds);
    bucket.mTokens = std::min(bucket.mTokens, bucket.mBurst);
  }
  aShares.mLastAllocation = aNow;
}

} // namespace

std::vector<double>
AllocateMaxMinFair(double aCapacity, const std::vector<ShareDemand>& aDemands)
{
  std::vector<std::size_t> order(aDemands.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  // In ascending order of demand per weight, what one leaves is known before
  // the next one's share is computed.
  std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aDemands[aLeft].mDemand * aDemands[aRight].mWeight <
           aDemands[aRight].mDemand * aDemands[aLeft].mWeight;
  });
  double weights = SumOfWeights(aDemands);
  double left = aCapacity;
  std::vector<double> shares(aDemands.size());
  for (const auto index : order) {
    const auto& [weight, demand] = aDemands[index];
    shares[index] = std::min(demand, left * weight / weights);
    left -= shares[index];
    weights -= weight;
  }
  return shares;
}

OrganisationShares
MakeOrganisationShares(std::uint64_t aTableSize,
                       double aNewFlowRate,
                       state::TimePoint aNow)
{
  OrganisationShares shares;
  shares.mTableSize = aTableSize;
  shares.mNewFlowRate = aNewFlowRate;
  shares.mLastAllocation = aNow;
  return shares;
}

void
SetWeight(OrganisationShares& aShares,
          const state::OrganisationId& aOrganisation,
          double aWeight,
          state::TimePoint aNow)
{
  auto& usage = aShares.mUsages[aOrganisation];
  usage.mWeight = aWeight;
  Allocate(aShares, aNow);
}

bool
AdmitFlow(OrganisationShares& aShares,
          const state::OrganisationId& aOrganisation,
          bool aOverloaded,
          state::TimePoint aNow)
{
  const auto found = aShares.mUsages.find(aOrganisation);
  if (found == aShares.mUsages.end()) {
    return false;
  }
  auto& usage = found->second;
  ++usage.mRequestedFlows;
  if (aShares.mOpenFlows >= aShares.mTableSize ||
      static_cast<double>(usage.mOpenFlows) >= usage.mOpenFlowLimit) {
    return false;
  }
  if (aOverloaded && !TryConsume(usage.mNewFlowBucket, 1, aNow)) {
    return false;
  }
  ++usage.mOpenFlows;
  ++aShares.mOpenFlows;
  return true;
}

void
AddOpenFlow(OrganisationShares& aShares,
            const state::OrganisationId& aOrganisation)
{
  ++aShares.mUsages[aOrganisation].mOpenFlows;
  ++aShares.mOpenFlows;
}

void
RemoveOpenFlow(OrganisationShares& aShares,
               const state::OrganisationId& aOrganisation)
{
  const auto found = aShares.mUsages.find(aOrganisation);
  if (found != aShares.mUsages.end() && found->second.mOpenFlows > 0) {
    --found->second.mOpenFlows;
    --aShares.mOpenFlows;
  }
}

void
ReallocateShares(OrganisationShares& aShares, state::TimePoint aNow)
{
  if (!aShares.mUsages.empty() &&
      aNow - aShares.mLastAllocation >= kAllocationInterval) {
    Allocate(aShares, aNow);
  }
}

} // namespace sassafrasknot::coordination
