#include "sassafrasknot/transport/dump.hpp"
#include "sassafrasknot/transport/log.hpp"
#include "sassafrasknot/transport/node.hpp"

#include "free_endpoint.hpp"
#include "planned_stop.hpp"
#include "test_snapshot.hpp"
#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace sassafrasknot::transport {
namespace {

using namespace std::chrono_literals;

protocol::Settings
MakeSettings()
{
  protocol::Settings settings;
  settings.mInstance = { "a" };
  settings.mDataCentre = { "dc" };
  settings.mPeerEndpoint = FreeEndpoint();
  settings.mControlEndpoint = FreeEndpoint();
  settings.mFabricEndpoint = FreeEndpoint();
  settings.mPlatformEndpoints = { FreeEndpoint() };
  return settings;
}

// Guards against an instance that cannot start without the platform or a peer,
// and against a planned stop that does not end on its own without flows.
TEST(Node, StartsWithoutPlatformAndStopsWithoutFlows)
{
  auto settings = MakeSettings();
  settings.mMaxStopTime = 30s;
  auto node = Node::Start(settings);
  ASSERT_TRUE(node.has_value()) << node.error().mMessage;
  node.value()->Stop();
  const auto start = std::chrono::steady_clock::now();
  EXPECT_TRUE(node.value()->Run());
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s);
}

// Guards against an error message that does not name the endpoint in use.
TEST(Node, ReportsEndpointInUse)
{
  auto settings = MakeSettings();
  const auto first = Node::Start(settings);
  ASSERT_TRUE(first.has_value());
  const auto second = Node::Start(settings);
  ASSERT_FALSE(second.has_value());
  EXPECT_NE(
    second.error().mMessage.find(state::ToString(settings.mPeerEndpoint)),
    std::string::npos);
}

// Guards against a planned stop that ends while packets still arrive, or that
// exceeds its maximum time.
TEST(PlannedStop, EndsWhenIdleOrAfterMaxStopTime)
{
  PlannedStop stop;
  stop.mBegun = true;
  const auto start = stop.mStart = stop.mLastPacket = state::TimePoint{} + 1h;
  EXPECT_EQ(EvaluateStop(stop, start + 59s, 60s), StopDecision::Wait);
  EXPECT_EQ(EvaluateStop(stop, start + 60s, 60s), StopDecision::TimedOut);
  stop.mHandedOver = true;
  stop.mLastPacket = start + 10s;
  EXPECT_EQ(EvaluateStop(stop, start + 11s, 60s), StopDecision::Wait);
  EXPECT_EQ(EvaluateStop(stop, start + 12s, 60s), StopDecision::Completed);
}

// Guards against values from outside that break a log line or forge fields.
TEST(Log, QuotesValues)
{
  EXPECT_EQ(FormatLogLine("reset", { { "service", "a b" } }),
            "event=reset service=\"a b\"");
  EXPECT_EQ(FormatLogLine("reset", { { "x", "1\n\"y=2\\" } }),
            "event=reset x=\"1\\x0a\\\"y=2\\\\\"");
  EXPECT_EQ(FormatLogLine("reset", { { "x", "" }, { "y", "1" } }),
            "event=reset x=\"\" y=1");
}

// Guards against a dump that lacks what operators need: revisions in force with
// their times, shards owned and backed up, upstreams with the reason why they
// are not eligible, and counters.
TEST(Dump, ShowsStateOfAllParts)
{
  DumpInput input;
  auto snapshot = MakeTestSnapshot(
    { MakeTestInstance("a", {}), MakeTestInstance("b", {}) }, 0);
  snapshot->mServices[0].mTables[0].mShards[0].mOwners = { 1, 0 };
  input.mSnapshot = snapshot;
  input.mControl = R"({"members":[]})";
  const std::chrono::system_clock::time_point time{ 86400s };
  EXPECT_EQ(UpdateInForce(input.mInForce, *snapshot, time).size(), 1);
  EXPECT_TRUE(UpdateInForce(input.mInForce, *snapshot, time + 1s).empty());
  coordination::OwnedShardStatus shard;
  shard.mShard.mUpstreams = { { { 1 }, 1, 2, 3, 4, false, "refusals" } };
  coordination::TrafficStatus status;
  status.mOwned = { shard };
  input.mTraffic.mThreads = { status };
  input.mCounters.mValues = { { "packets_received_total", 9 } };

  const auto dump = boost::json::parse(BuildDump(input)).as_object();
  EXPECT_EQ(dump.at("instance").as_string(), "a");
  const auto& inForce = dump.at("in_force").at(0).as_object();
  EXPECT_EQ(inForce.at("revision").to_number<int>(), 1);
  EXPECT_EQ(inForce.at("since").as_string(), "1970-01-02T00:00:00Z");
  EXPECT_TRUE(dump.at("control").as_object().contains("members"));
  const auto& owned = dump.at("traffic").at(0).at("shards").at(0).as_object();
  EXPECT_TRUE(owned.at("owned").as_bool());
  EXPECT_EQ(owned.at("upstreams").at(0).at("reason").as_string(), "refusals");
  EXPECT_EQ(dump.at("backed_up").at(0).at("owner").as_string(), "b");
  EXPECT_EQ(dump.at("counters").at("packets_received_total").to_number<int>(),
            9);
}

// Guards against text that a Prometheus server cannot parse.
TEST(Dump, WritesPrometheusText)
{
  state::Counters counters;
  counters.mValues = { { "flows", 1 }, { "packets_received_total", 2 } };
  EXPECT_EQ(FormatPrometheusText(counters),
            "# TYPE sassafrasknot_flows gauge\n"
            "sassafrasknot_flows 1\n"
            "# TYPE sassafrasknot_packets_received_total counter\n"
            "sassafrasknot_packets_received_total 2\n");
}

} // namespace
} // namespace sassafrasknot::transport
