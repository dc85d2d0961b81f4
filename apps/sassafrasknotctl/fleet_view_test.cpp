#include "dump_view.hpp"
#include "fleet_view.hpp"
#include <gtest/gtest.h>

namespace sassafrasknotctl {
namespace {

constexpr const char* kShard =
  R"({"organisation":"kandyan","service":"intake",
  "index":0,"owned":true,"flows":7})";

// Returns a dump in the form that an instance writes: composed of the dumps of
// its parts, with numbers as strings. The instances a and b are listed as
// alive.
std::string
Dump(const std::string& aName,
     const std::string& aRevision,
     const std::string& aOwned)
{
  return R"({"control":{"instance":")" + aName +
         R"(","data_centre":"galle","revision_in_force":")" + aRevision +
         R"(","highest_revision":"9","trusted":"true","stopping":"false",
         "members":[{"id":"a","health":"alive"},{"id":"b","health":"alive"}]},
         "traffic":[{"shards":[)" +
         aOwned + "]}]}";
}

// Guards against an instance with an older revision that is not reported.
TEST(FleetView, ListsInstancesThatAreBehind)
{
  const auto view = CompareInstances(
    { ParseInstanceStatus("127.0.0.1:1", Dump("a", "9", kShard)),
      ParseInstanceStatus("127.0.0.1:2", Dump("b", "7", "")) });
  EXPECT_EQ(view.mHighest, 9U);
  EXPECT_EQ(view.mEverywhere, 7U);
  EXPECT_EQ(view.mBehind, std::vector<std::string>{ "b" });
  EXPECT_TRUE(view.mConflictingOwners.empty());
  EXPECT_TRUE(view.mNotSeenBy.empty());
  EXPECT_FALSE(IsConsistent(view));
}

// Guards against two owners of one shard that are not reported.
TEST(FleetView, ListsShardsWithTwoOwners)
{
  const auto view = CompareInstances(
    { ParseInstanceStatus("127.0.0.1:1", Dump("a", "9", kShard)),
      ParseInstanceStatus("127.0.0.1:2", Dump("b", "9", kShard)) });
  ASSERT_EQ(view.mConflictingOwners.size(), 1U);
  EXPECT_EQ(view.mConflictingOwners.begin()->first, "kandyan intake 0");
  EXPECT_NE(FleetToText(view).find("two owners of kandyan intake 0: a, b"),
            std::string::npos);
}

// Guards against a fleet that counts as consistent although an instance has no
// valid dump.
TEST(FleetView, IsInconsistentWithoutADump)
{
  const auto malformed = ParseInstanceStatus("127.0.0.1:1", "{");
  EXPECT_FALSE(malformed.mError.empty());
  const auto view = CompareInstances(
    { malformed, ParseInstanceStatus("127.0.0.1:2", Dump("b", "9", kShard)) });
  EXPECT_FALSE(IsConsistent(view));
  EXPECT_EQ(view.mEverywhere, 9U);
  EXPECT_FALSE(InForceEverywhere(view, 9));
  EXPECT_NE(
    FleetToPrometheus(view).find("sassafrasknot_fleet_instances_silent 1"),
    std::string::npos);
}

// Guards against an instance that others do not list as alive and that is not
// reported.
TEST(FleetView, ListsInstancesThatOthersDoNotSee)
{
  const auto view = CompareInstances(
    { ParseInstanceStatus("127.0.0.1:1", Dump("a", "9", kShard)),
      ParseInstanceStatus("127.0.0.1:3", Dump("c", "9", "")) });
  ASSERT_EQ(view.mNotSeenBy.size(), 1U);
  EXPECT_EQ(view.mNotSeenBy.at("c"), std::vector<std::string>{ "a" });
}

// Guards against a reported time at which a revision was not in force
// everywhere yet.
TEST(FleetView, ReportsWhenARevisionCameIntoForceEverywhere)
{
  const auto status = [](const std::string& aName,
                         const std::string& aRevision,
                         const std::string& aSince) {
    return ParseInstanceStatus(
      "127.0.0.1:1",
      R"({"instance":")" + aName +
        R"(","in_force":[{"organisation":"kandyan","revision":)" + aRevision +
        R"(,"since":"2026-01-01T00:00:)" + aSince + R"(Z"}]})");
  };
  const auto settled =
    CompareInstances({ status("a", "5", "03"), status("b", "5", "07") });
  EXPECT_EQ(settled.mOrganisations.at("kandyan").mRevision, 5U);
  EXPECT_EQ(settled.mOrganisations.at("kandyan").mSince,
            "2026-01-01T00:00:07Z");
  const auto unsettled =
    CompareInstances({ status("a", "6", "09"), status("b", "5", "07") });
  EXPECT_EQ(unsettled.mOrganisations.at("kandyan").mRevision, 6U);
  EXPECT_EQ(unsettled.mOrganisations.at("kandyan").mSince, "");
}

// Guards against values of a dump that are missing from its text.
TEST(DumpView, ShowsAllValues)
{
  const auto text = DumpToText(
    R"({"instance":"a","list":[{"x":1,"y":"b"},{"x":22,"y":"c"}],"z":[1,2]})");
  ASSERT_TRUE(text.has_value());
  EXPECT_EQ(text.value(),
            "instance: a\n"
            "list:\n"
            "  x   y  \n"
            "  1   b  \n"
            "  22  c  \n"
            "z:\n"
            "  0: 1\n"
            "  1: 2\n");
  EXPECT_FALSE(DumpToText("[]").has_value());
  EXPECT_FALSE(DumpToText("{").has_value());
}

} // namespace
} // namespace sassafrasknotctl
