#include "sassafrasknot/coordination/organisation_share.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace sassafrasknot::coordination {
namespace {

constexpr std::chrono::milliseconds kDivisionInterval{ 100 };
/// Part of its equal share that an idle organisation keeps free, so that it
/// can start while others fill the table: there is no way to take entries back.
constexpr double kReserve = 0.1;
/// Demand for new flows may grow by this factor until the next division; it
/// also covers flows that arrive unevenly.
constexpr double kGrowth = 1.2;
/// Bursts of new flows under overload, in seconds of the organisation's rate.
constexpr double kBurstSeconds = 0.1;

double
SumOfWeights(const std::vector<ShareDemand>& aDemands)
{
  return std::accumulate(
    aDemands.begin(), aDemands.end(), 0.0, [](double aSum, const auto& aOne) {
      return aSum + aOne.mWeight;
    });
}

/// Divides anew what max-min fairness has left over, so that demand that grows
/// before the next division finds room.
std::vector<double>
DivideAll(double aCapacity, const std::vector<ShareDemand>& aDemands)
{
  auto shares = AllocateMaxMinFair(aCapacity, aDemands);
  const double given = std::accumulate(shares.begin(), shares.end(), 0.0);
  const double left = std::max(0.0, aCapacity - given);
  const double weights = SumOfWeights(aDemands);
  for (std::size_t index = 0; index < shares.size(); ++index) {
    shares[index] += left * aDemands[index].mWeight / weights;
  }
  return shares;
}

void
Divide(OrganisationShares& aShares, state::TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aShares.mLastAllocation;
  const double seconds = std::max(elapsed.count(), 1e-3);
  double weights = 0;
  for (const auto& [name, use] : aShares.mUsages) {
    weights += use.mWeight;
  }
  std::vector<ShareDemand> open;
  std::vector<ShareDemand> fresh;
  std::vector<OrganisationUsage*> uses;
  for (auto& [name, use] : aShares.mUsages) {
    const double equal =
      static_cast<double>(aShares.mTableSize) * use.mWeight / weights;
    // What was asked for in this interval may be asked for in the next one.
    open.push_back(
      { use.mWeight,
        std::max(static_cast<double>(use.mOpenFlows + 2 * use.mRequestedFlows),
                 kReserve * equal) });
    const double equalRate = aShares.mNewFlowRate * use.mWeight / weights;
    const double askedRate = static_cast<double>(use.mRequestedFlows) / seconds;
    fresh.push_back(
      { use.mWeight, std::max(kGrowth * askedRate, kReserve * equalRate) });
    uses.push_back(&use);
    use.mRequestedFlows = 0;
  }
  const auto openShares =
    DivideAll(static_cast<double>(aShares.mTableSize), open);
  const auto rates = DivideAll(aShares.mNewFlowRate, fresh);
  for (std::size_t index = 0; index < uses.size(); ++index) {
    auto& bucket = uses[index]->mNewFlowBucket;
    uses[index]->mOpenFlowLimit = openShares[index];
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
  auto& use = aShares.mUsages[aOrganisation];
  use.mWeight = aWeight;
  Divide(aShares, aNow);
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
  auto& use = found->second;
  ++use.mRequestedFlows;
  if (aShares.mOpenFlows >= aShares.mTableSize ||
      static_cast<double>(use.mOpenFlows) >= use.mOpenFlowLimit) {
    return false;
  }
  if (aOverloaded && !TryConsume(use.mNewFlowBucket, 1, aNow)) {
    return false;
  }
  ++use.mOpenFlows;
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
      aNow - aShares.mLastAllocation >= kDivisionInterval) {
    Divide(aShares, aNow);
  }
}

} // namespace sassafrasknot::coordination
