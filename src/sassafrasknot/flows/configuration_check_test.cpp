#include "sassafrasknot/flows/configuration_check.hpp"

#include <functional>

#include <gmock/gmock.h>

namespace sassafrasknot::flows {
namespace {

using state::CheckKind;
using std::chrono::milliseconds;
using testing::HasSubstr;
using testing::IsEmpty;

const state::Endpoint kFeedEndpoint{ { 0xC6120001 }, 8443 };
const state::Endpoint kSaleEndpoint{ { 0xC6120002 }, 80 };
constexpr const char* kFeed = "routes/198.18.0.1:8443";

/// A configuration without findings: a feed that two services share, and a sale
/// that one of them serves.
Configuration
MakeConfiguration()
{
  Configuration configuration;
  configuration.mRoutes[kFeedEndpoint] = { "feed",
                                           kFeedEndpoint,
                                           { { "core", 90 }, { "spare", 10 } },
                                           RequestKind::Idempotent,
                                           milliseconds(500),
                                           milliseconds(2500),
                                           2 };
  configuration.mRoutes[kSaleEndpoint] = { "sale",
                                           kSaleEndpoint,
                                           { { "core", 1 } },
                                           RequestKind::NonIdempotent,
                                           milliseconds(500),
                                           milliseconds(2500),
                                           1 };
  configuration.mHealthPaths = { { "core", "/health" },
                                 { "spare", "/health" } };
  configuration.mIdleTimeout = milliseconds(15000);
  return configuration;
}

Route&
Feed(Configuration& aConfiguration)
{
  return aConfiguration.mRoutes.at(kFeedEndpoint);
}

// Guards against findings in a usual configuration, which would make the exit
// status useless, and against limits that are rejected although they are equal.
TEST(CheckConfiguration, FindsNothingInAUsualConfiguration)
{
  EXPECT_THAT(CheckConfiguration({}), IsEmpty());
  auto configuration = MakeConfiguration();
  EXPECT_THAT(CheckConfiguration(configuration), IsEmpty());
  Feed(configuration).mObjective = Feed(configuration).mTimeout;
  configuration.mIdleTimeout = Feed(configuration).mTimeout;
  EXPECT_THAT(CheckConfiguration(configuration), IsEmpty());
}

// Guards against entries without effect and contradicting limits that take
// effect unnoticed, and against a finding at another place than its cause.
TEST(CheckConfiguration, FindsUselessAndContradictingEntries)
{
  struct Row
  {
    std::function<void(Configuration&)> mChange;
    CheckKind mKind;
    std::string mLocation;
    std::string mMessage;
  };
  const std::string feed = kFeed;
  const Row rows[] = {
    { [](auto& aNew) { Feed(aNew).mServices[1].mWeight = 0; },
      CheckKind::NeverMatches,
      feed + "/split",
      "spare has weight 0" },
    { [](auto& aNew) {
       Feed(aNew).mServices[0].mWeight = 0;
       Feed(aNew).mServices[1].mWeight = 0;
     },
      CheckKind::Contradiction,
      feed + "/split",
      "the first service, core" },
    { [](auto& aNew) {
       Feed(aNew).mServices.clear();
       aNew.mHealthPaths.erase("spare");
     },
      CheckKind::NeverMatches,
      feed + "/split",
      "has no service" },
    { [](auto& aNew) { aNew.mHealthPaths.erase("spare"); },
      CheckKind::Contradiction,
      feed + "/split",
      "spare, which is not in backends" },
    { [](auto& aNew) { aNew.mHealthPaths["old"] = "/"; },
      CheckKind::NeverMatches,
      "backends/old",
      "no route" },
    { [](auto& aNew) { Feed(aNew).mObjective = milliseconds(2501); },
      CheckKind::Contradiction,
      feed + "/aim_ms",
      "2501 ms is above timeout_ms, 2500 ms" },
    { [](auto& aNew) { Feed(aNew).mTimeout = milliseconds(15001); },
      CheckKind::Contradiction,
      feed + "/timeout_ms",
      "15001 ms is above limits.idle_timeout_ms, 15000 ms" },
    { [](auto& aNew) {
       aNew.mWarmUpLimits["core"] = { milliseconds(0), 20 };
     },
      CheckKind::Contradiction,
      "backends/core/warmup_s",
      "is 0 although warmup_per_s" },
  };
  for (const auto& row : rows) {
    auto configuration = MakeConfiguration();
    row.mChange(configuration);
    const auto findings = CheckConfiguration(configuration);
    ASSERT_EQ(findings.size(), 1U) << row.mLocation << ' ' << row.mMessage;
    EXPECT_EQ(ToString(findings[0].mKind), ToString(row.mKind));
    EXPECT_EQ(findings[0].mFinding.mLocation, row.mLocation);
    EXPECT_THAT(findings[0].mFinding.mMessage, HasSubstr(row.mMessage));
  }
}

// Guards against changes that are not shown, and against any but the removal of
// a route being reported to break open flows.
TEST(CompareConfigurations, ShowsEachChangeWithItsEffect)
{
  struct Row
  {
    std::function<void(Configuration&)> mChange;
    ConfigurationChangeKind mKind;
    std::string mLocation;
    std::string mMessage;
    bool mIsUnsafe = false;
  };
  using Kind = ConfigurationChangeKind;
  const std::string feed = kFeed;
  const Row rows[] = {
    { [](auto& aNew) {
       aNew.mRoutes[{ { 1 }, 2 }].mName = "more";
     },
      Kind::Added,
      "routes/0.0.0.1:2",
      "route more accepts" },
    { [](auto& aNew) { aNew.mRoutes.erase(kFeedEndpoint); },
      Kind::Removed,
      feed,
      "route feed is removed",
      true },
    { [](auto& aNew) { Feed(aNew).mServices[0].mWeight = 50; },
      Kind::Changed,
      feed + "/split",
      "core 90, spare 10 becomes core 50, spare 10" },
    { [](auto& aNew) { Feed(aNew).mKind = RequestKind::Upload; },
      Kind::Changed,
      feed + "/type",
      "idempotent becomes upload; its new flows are not reset" },
    { [](auto& aNew) { Feed(aNew).mName = "rates"; },
      Kind::Changed,
      feed + "/name",
      "feed becomes rates" },
    { [](auto& aNew) { Feed(aNew).mObjective = milliseconds(400); },
      Kind::Changed,
      feed + "/aim_ms",
      "500 ms becomes 400 ms" },
    { [](auto& aNew) { Feed(aNew).mTimeout = milliseconds(2000); },
      Kind::Changed,
      feed + "/timeout_ms",
      "2500 ms becomes 2000 ms" },
    { [](auto& aNew) { Feed(aNew).mPriority = 0; },
      Kind::Changed,
      feed + "/priority",
      "2 becomes 0" },
    { [](auto& aNew) { aNew.mHealthPaths["core"] = "/up"; },
      Kind::Changed,
      "backends/core/health_check_path",
      "/health becomes /up" },
    { [](auto& aNew) { aNew.mHealthPaths["new"] = "/up"; },
      Kind::Added,
      "backends/new",
      "probed at /up" },
    { [](auto& aNew) { aNew.mHealthPaths.erase("core"); },
      Kind::Removed,
      "backends/core",
      "probed at /;" },
    { [](auto& aNew) { aNew.mIdleTimeout = milliseconds(9000); },
      Kind::Changed,
      "limits/idle_timeout_ms",
      "15000 ms becomes 9000 ms" },
    { [](auto& aNew) {
       aNew.mWarmUpLimits["spare"] = { milliseconds(4000), 12.5 };
     },
      Kind::Changed,
      "backends/spare/warmup_per_s",
      "no limit becomes 12.5 requests/s for 4000 ms; applies to new flows" },
  };
  const auto inForce = MakeConfiguration();
  EXPECT_THAT(CompareConfigurations(inForce, inForce), IsEmpty());
  for (const auto& row : rows) {
    auto changed = inForce;
    row.mChange(changed);
    const auto changes = CompareConfigurations(inForce, changed);
    ASSERT_EQ(changes.size(), 1U) << row.mLocation;
    EXPECT_EQ(ToString(changes[0].mKind), ToString(row.mKind));
    EXPECT_EQ(changes[0].mLocation, row.mLocation);
    EXPECT_THAT(changes[0].mMessage, HasSubstr(row.mMessage));
    EXPECT_EQ(!changes[0].mUnsafeReason.empty(), row.mIsUnsafe)
      << row.mLocation;
  }
}

} // namespace
} // namespace sassafrasknot::flows
