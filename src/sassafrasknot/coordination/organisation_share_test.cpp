#include "sassafrasknot/coordination/organisation_share.hpp"

#include <deque>
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::coordination {
namespace {

using namespace std::chrono_literals;

constexpr state::TimePoint kStart{ 1h };
const state::OrganisationId kGreedy{ "greedy" };
const state::OrganisationId kModest{ "modest" };

/// Requests flows at a constant rate for one second and returns how many were
/// admitted.
std::uint64_t
RequestFlows(OrganisationShares& aShares,
             const state::OrganisationId& aOrganisation,
             int aFlows,
             bool aOverloaded,
             state::TimePoint aNow)
{
  std::uint64_t admitted = 0;
  for (int flow = 0; flow < aFlows; ++flow) {
    const auto now = aNow + flow * state::Duration{ 1s } / aFlows;
    ReallocateShares(aShares, now);
    admitted += AdmitFlow(aShares, aOrganisation, aOverloaded, now) ? 1 : 0;
  }
  return admitted;
}

// Guards against capacity that is left unused in spite of demand, and against a
// share above its demand or below its fair part.
RC_GTEST_PROP(OrganisationShare,
              AllocationIsWeightedMaxMinFair,
              (const std::vector<std::pair<unsigned char, unsigned char>>&
                 aWeightsAndDemands,
               unsigned short aCapacity))
{
  RC_PRE(!aWeightsAndDemands.empty());
  std::vector<ShareDemand> demands;
  double totalDemand = 0;
  for (const auto& [weight, demand] : aWeightsAndDemands) {
    demands.push_back({ 1.0 + weight, static_cast<double>(demand) });
    totalDemand += demand;
  }
  const auto shares = AllocateMaxMinFair(aCapacity, demands);
  const double allocated = std::accumulate(shares.begin(), shares.end(), 0.0);
  RC_ASSERT(std::abs(allocated - std::min<double>(totalDemand, aCapacity)) <
            1e-6);
  for (std::size_t index = 0; index < shares.size(); ++index) {
    RC_ASSERT(shares[index] <= demands[index].mDemand + 1e-9);
    if (shares[index] + 1e-6 < demands[index].mDemand) {
      for (std::size_t other = 0; other < shares.size(); ++other) {
        RC_ASSERT(shares[other] / demands[other].mWeight <=
                  shares[index] / demands[index].mWeight + 1e-6);
      }
    }
  }
}

// Guards against one organisation that fills the table with long-lived flows,
// so that another one cannot open any.
TEST(OrganisationShare, IdleOrganisationFindsRoomInAFullTable)
{
  auto shares = MakeOrganisationShares(1000, 1e6, kStart);
  SetWeight(shares, kGreedy, 1, kStart);
  SetWeight(shares, kModest, 1, kStart);
  const auto greedy = RequestFlows(shares, kGreedy, 5000, false, kStart);
  EXPECT_GE(greedy, 900);
  EXPECT_LT(greedy, 1000);
  EXPECT_GE(RequestFlows(shares, kModest, 40, false, kStart + 1s), 40);
}

// Guards against a limit on new flows while the instance is not overloaded.
TEST(OrganisationShare, LimitsNewFlowsOnlyUnderOverload)
{
  auto shares = MakeOrganisationShares(1000000, 1000, kStart);
  SetWeight(shares, kGreedy, 1, kStart);
  EXPECT_EQ(RequestFlows(shares, kGreedy, 5000, false, kStart), 5000);
  const auto admitted = RequestFlows(shares, kGreedy, 5000, true, kStart + 1s);
  EXPECT_GE(admitted, 900);
  EXPECT_LE(admitted, 1200);
}

// Guards against refusals by both limits together of what each of them alone
// allows: a modest organisation opens few flows under overload, while a greedy
// one fills the table with flows that last half a second.
TEST(OrganisationShare, ModestOrganisationIsServedUnderBothLimits)
{
  auto shares = MakeOrganisationShares(400, 1000, kStart);
  SetWeight(shares, kGreedy, 1, kStart);
  SetWeight(shares, kModest, 3, kStart);
  std::deque<state::TimePoint> ends;
  std::uint64_t modest = 0;
  for (int step = 0; step < 4000; ++step) {
    const auto now = kStart + step * 1ms;
    ReallocateShares(shares, now);
    for (; !ends.empty() && ends.front() <= now; ends.pop_front()) {
      RemoveOpenFlow(shares, kGreedy);
    }
    for (int flow = 0; flow < 5; ++flow) {
      if (AdmitFlow(shares, kGreedy, true, now)) {
        ends.push_back(now + 500ms);
      }
    }
    if (step % 20 == 0 && step >= 1000) {
      modest += AdmitFlow(shares, kModest, true, now) ? 1 : 0;
    }
  }
  EXPECT_EQ(modest, 150);
  EXPECT_GE(ends.size(), 200);
  EXPECT_LE(shares.mOpenFlows, shares.mTableSize);
}

// Guards against a flow whose end is reported twice, which would free the table
// entry of another flow or make the count negative.
TEST(OrganisationShare, CountsNeverFallBelowZero)
{
  auto shares = MakeOrganisationShares(10, 10, kStart);
  SetWeight(shares, kGreedy, 1, kStart);
  AddOpenFlow(shares, kGreedy);
  RemoveOpenFlow(shares, kGreedy);
  RemoveOpenFlow(shares, kGreedy);
  RemoveOpenFlow(shares, kModest);
  EXPECT_EQ(shares.mOpenFlows, 0);
}

} // namespace
} // namespace sassafrasknot::coordination
