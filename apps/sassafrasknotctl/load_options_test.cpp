#include "endpoint_list.hpp"
#include "load_options.hpp"
#include "load_report.hpp"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknotctl {
namespace {

using std::chrono::seconds;

// Guards against targets that are parsed wrongly, so that the load goes to
// another service, and against malformed targets that are accepted.
TEST(LoadOptions, ParsesTargets)
{
  const auto target =
    ParseTarget(FlowKind::Feed, "kandyan/scheduling@127.10.0.1:7001=2.5");
  ASSERT_TRUE(target.has_value());
  EXPECT_EQ(target.value().mOrganisation, "kandyan");
  EXPECT_EQ(target.value().mService, "scheduling");
  EXPECT_EQ(state::ToString(target.value().mListener), "127.10.0.1:7001");
  EXPECT_EQ(target.value().mRate, 2.5);
  for (const auto* text : { "",
                            "kandyan@127.10.0.1:7001=1",
                            "kandyan/s@127.10.0.1=1",
                            "kandyan/s@127.10.0.1:7001",
                            "kandyan/s@127.10.0.1:7001=0",
                            "kandyan/s@127.10.0.1:7001=nan",
                            "kandyan/s@127.10.0.1:7001=1x" }) {
    EXPECT_FALSE(ParseTarget(FlowKind::Feed, text).has_value()) << text;
  }
}

// Guards against wrong options that are ignored, so that a run starts with
// values that were not asked for.
TEST(LoadOptions, RejectsWrongOptions)
{
  for (const auto* option : { "--bogus", "--crest=1:2", "--feeds=x", "more" }) {
    const char* arguments[] = {
      "load", "--feeds=a/b@127.10.0.1:1=1", option, nullptr
    };
    EXPECT_FALSE(ParseLoadOptions(3, arguments).has_value()) << option;
  }
}

// Guards against a list of instances of which only a part is used because a
// line is malformed.
TEST(EndpointList, NamesTheMalformedLine)
{
  const auto list = ParseEndpointList("# live\n127.0.0.1:7001\n\n1.2.3.4:5\n");
  ASSERT_TRUE(list.has_value());
  EXPECT_EQ(list.value().size(), 2U);
  const auto malformed = ParseEndpointList("127.0.0.1:7001\n127.0.0.1\n");
  ASSERT_FALSE(malformed.has_value());
  EXPECT_TRUE(malformed.error().mMessage.starts_with("line 2"));
}

// Guards against a burst that raises the rate at the wrong time or not at all.
RC_GTEST_PROP(Arrivals, FollowTheirRate, (std::uint32_t aSeed))
{
  auto arrivals =
    MakeArrivals(200, Burst{ seconds(10), seconds(10), 4.0 }, aSeed);
  int outside = 0;
  int inside = 0;
  for (; arrivals.mNext < seconds(30); Advance(arrivals)) {
    const bool inBurst =
      arrivals.mNext >= seconds(10) && arrivals.mNext < seconds(20);
    ++(inBurst ? inside : outside);
  }
  // The bounds are six standard deviations of Poisson counts with the means
  // 4,000 and 8,000.
  RC_ASSERT(std::abs(outside - 4000) < 380);
  RC_ASSERT(std::abs(inside - 8000) < 540);
}

// Guards against a percentile or an imbalance that is computed wrongly.
TEST(LoadReport, ComputesPercentilesAndImbalance)
{
  EXPECT_EQ(Percentile({}, 0.5), 0);
  EXPECT_EQ(Percentile({ 4, 1, 3, 2 }, 0.5), 3);
  EXPECT_EQ(Percentile({ 4, 1, 3, 2 }, 1.0), 4);
  EXPECT_EQ(Imbalance({}), 1.0);
  EXPECT_EQ(Imbalance({ { "a", 3 }, { "b", 1 } }), 1.5);
}

} // namespace
} // namespace sassafrasknotctl
