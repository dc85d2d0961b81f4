#include "sassafrasknot/flows/evacuation.hpp"
#include "sassafrasknot/flows/flow_fixture_test.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

constexpr int kUpstreams = 60;

/// Draws a directory in which upstreams are missing, have restarted or have
/// moved to another data centre.
Directory
DrawDirectory(std::minstd_rand& aRandom)
{
  Directory directory;
  for (int index = 0; index < kUpstreams; ++index) {
    if (aRandom() % 4 != 0) {
      auto upstream =
        MakeUpstream("i-" + std::to_string(index),
                     aRandom() % 16 == 0 ? "c" : (index % 2 == 0 ? "a" : "b"));
      upstream.mStarted = milliseconds(aRandom() % 16 == 0 ? 2 : 1);
      directory.mUpstreams.push_back({ upstream });
    }
  }
  return directory;
}

std::map<UpstreamToken, UpstreamLoad>
DrawLoads(std::minstd_rand& aRandom)
{
  std::map<UpstreamToken, UpstreamLoad> loads;
  for (std::uint32_t count = aRandom() % 20; count > 0; --count) {
    const auto id = "i-" + std::to_string(aRandom() % (kUpstreams + 5));
    loads[TokenOf(id)] = { count, count + 1 };
  }
  return loads;
}

std::map<state::DataCentreId, double>
DrawUtilisations(std::minstd_rand& aRandom)
{
  std::map<state::DataCentreId, double> utilisations;
  for (const auto* dataCentre : { "a", "b", "c" }) {
    if (aRandom() % 3 != 0) {
      utilisations[{ dataCentre }] = static_cast<double>(aRandom() % 100) / 50;
    }
  }
  return utilisations;
}

/// Assigns loads and utilisations to every upstream of the table.
void
SetPeerLoadsOfAll(UpstreamTable& aTable,
                  const std::map<UpstreamToken, UpstreamLoad>& aLoads,
                  std::map<state::DataCentreId, double>& aMeanUtilisations)
{
  for (auto& [token, record] : aTable.mByToken) {
    const auto load = aLoads.find(token);
    record.mPeerLoad = load == aLoads.end() ? UpstreamLoad{} : load->second;
    record.mDataCentreUtilisation =
      &aMeanUtilisations[record.mUpstream.mDataCentre];
  }
}

// Guards against loads of peers that stay after the peers have stopped to
// report them, and against upstreams that get none after a restart, a removal
// or a move.
TEST(UpstreamTable, PeerLoadsEqualThoseOfAFullPass)
{
  std::minstd_rand random(11);
  UpstreamTable table;
  UpstreamTable reference;
  // Those of the last full pass, since records point to them.
  std::map<state::DataCentreId, double> utilisations;
  constexpr std::chrono::seconds kStep{ 20 }; // Removed records are erased.
  for (int round = 0; round < 500; ++round) {
    const auto now = At(round * kStep);
    if (random() % 2 == 0) {
      const auto directory = DrawDirectory(random);
      UpdateTable(table, directory, now);
      UpdateTable(reference, directory, now);
    } else {
      const auto loads = DrawLoads(random);
      const auto drawn = DrawUtilisations(random);
      SetPeerLoads(table, loads, drawn);
      for (auto& [dataCentre, utilisation] : utilisations) {
        utilisation = 0;
      }
      for (const auto& [dataCentre, utilisation] : drawn) {
        utilisations[dataCentre] = utilisation;
      }
      SetPeerLoadsOfAll(reference, loads, utilisations);
    }
    ASSERT_EQ(table.mByToken.size(), reference.mByToken.size());
    for (const auto& [token, record] : reference.mByToken) {
      const auto* updated = FindUpstream(table, token);
      ASSERT_NE(updated, nullptr);
      ASSERT_EQ(updated->mPeerLoad, record.mPeerLoad) << "round " << round;
      ASSERT_EQ(AssumedUtilisation(*updated), AssumedUtilisation(record))
        << "round " << round;
    }
  }
}

// Guards against pools that are not rebuilt although an upstream or an
// evacuation has come or gone.
TEST(UpstreamTable, PoolsThatAreKeptEqualRebuiltOnes)
{
  std::minstd_rand random(3);
  UpstreamTable table;
  Directory directory;
  int kept = 0;
  for (int round = 0; round < 2000; ++round) {
    if (random() % 20 == 0) {
      directory.mUpstreams = DrawDirectory(random).mUpstreams;
    } else if (random() % 10 == 0) {
      directory.mEvacuations.clear();
      if (random() % 2 == 0) {
        directory.mEvacuations[{ random() % 2 == 0 ? "a" : "b" }] = 1;
      }
    }
    if (!directory.mUpstreams.empty()) {
      auto& changed =
        directory.mUpstreams[random() % directory.mUpstreams.size()];
      changed.mPresence =
        random() % 4 == 0 ? Presence::Expired : Presence::Listed;
      changed.mUpstream.mDraining = random() % 2 == 0;
      changed.mUpstream.mStarted = milliseconds(random() % 8 == 0 ? 3 : 1);
      if (random() % 16 == 0) {
        changed.mUpstream.mService = random() % 2 == 0 ? "scheduling" : "other";
      }
    }
    const auto now = At(round * std::chrono::seconds(5));
    const bool mustBuild = UpdateTable(table, directory, now);
    const auto previous = table.mByService;
    BuildPools(table, { "a" }, { 1, round % 400 < 200 ? 20U : 2U });
    if (mustBuild || round % 200 == 0) {
      continue;
    }
    ++kept;
    ASSERT_EQ(previous.size(), table.mByService.size()) << "round " << round;
    for (const auto& [service, pool] : table.mByService) {
      const auto& other = previous.at(service);
      ASSERT_EQ(other.mAll, pool.mAll) << "round " << round;
      ASSERT_EQ(other.mLocalCandidates, pool.mLocalCandidates);
      ASSERT_EQ(other.mRemote, pool.mRemote);
      ASSERT_EQ(other.mEvacuated, pool.mEvacuated);
      ASSERT_EQ(other.mSpreadsRemotely, pool.mSpreadsRemotely);
    }
  }
  EXPECT_GT(kept, 1000);
}

// Guards against an incremental directory that lacks a change, so that the
// instance would place flows on an upstream that is gone or draining.
TEST(UpstreamTable, IncrementalDirectoriesEqualFullOnes)
{
  std::minstd_rand random(17);
  DirectoryBuilder builder;
  UpstreamTable table;
  UpstreamTable reference;
  for (int round = 0; round < 3000; ++round) {
    const auto now = At(round * std::chrono::seconds(2));
    for (auto changes = random() % 4; changes > 0; --changes) {
      const auto index = random() % kUpstreams;
      const auto id = "i-" + std::to_string(index);
      if (random() % 3 == 0) {
        RemoveUpstream(builder, id, now);
      } else {
        auto upstream = MakeUpstream(id, index % 2 == 0 ? "a" : "b");
        upstream.mDraining = random() % 3 == 0;
        upstream.mStarted = milliseconds(random() % 3);
        upstream.mWarmUpLeft = milliseconds(random() % 3);
        UpsertUpstream(builder, upstream);
      }
    }
    if (random() % 50 == 0) {
      BeginEvacuation(builder,
                      { { "b" }, static_cast<state::Revision>(round) });
    } else if (random() % 50 == 0) {
      EndEvacuation(builder, { "b" });
    }
    RemoveExpired(builder, now);
    const auto next = BuildNextDirectory(builder, 1);
    ASSERT_EQ(next->mIsIncremental, round > 0);
    ASSERT_EQ(UpdateTable(table, *next, now),
              UpdateTable(reference, *BuildDirectory(builder, 1), now));
    ASSERT_EQ(table.mByToken.size(), reference.mByToken.size());
    for (const auto& [token, expected] : reference.mByToken) {
      const auto* record = FindUpstream(table, token);
      ASSERT_NE(record, nullptr) << "round " << round;
      ASSERT_EQ(record->mUpstream, expected.mUpstream) << "round " << round;
      ASSERT_EQ(record->mPresence, expected.mPresence) << "round " << round;
      ASSERT_EQ(record->mRemovedAt, expected.mRemovedAt);
      ASSERT_EQ(record->mWarmUpEnd, expected.mWarmUpEnd);
      ASSERT_EQ(record->mEvacuated, expected.mEvacuated);
    }
  }
}

/// Returns the upstreams of the whole table with load or evidence, in order of
/// their tokens.
std::vector<const UpstreamRecord*>
ObservedOfAll(const UpstreamTable& aTable)
{
  std::vector<const UpstreamRecord*> observed;
  for (const auto& [token, record] : aTable.mByToken) {
    const auto& detector = record.mFailureDetector;
    if (record.mOwnLoad != UpstreamLoad{} ||
        detector.mLiveness != Liveness::Responsive ||
        detector.mRetransmittingFlows > 0 || detector.mUnansweredOpens > 0) {
      observed.push_back(&record);
    }
  }
  std::ranges::sort(observed, {}, &UpstreamRecord::mToken);
  return observed;
}

/// Passes a random event of callers, other instances or the store to a router.
/// Callers that do not go on after their opening packet are those of failed
/// upstreams.
void
ApplyRandomEvent(RouterFixture& aFixture,
                 std::minstd_rand& aRandom,
                 milliseconds aTime)
{
  auto& router = aFixture.mRouter;
  const auto caller = static_cast<std::uint16_t>(1000 + aRandom() % 80);
  const auto port = aRandom() % 2 == 0 ? kFeedPort : kRequestPort;
  const auto token =
    TokenOf("i-" + std::to_string(aRandom() % (kUpstreams + 5)));
  switch (aRandom() % 40) {
    case 0:
      OnReportedUnresponsive(router, { token }, At(aTime));
      break;
    case 1:
      OnProbeSuccess(router, token, At(aTime - milliseconds(1)));
      break;
    case 2:
      if (aRandom() % 4 == 0) {
        aFixture.mDirectory.mUpstreams = DrawDirectory(aRandom).mUpstreams;
        aFixture.Publish(aTime);
      }
      break;
    default:
      const auto decision =
        aFixture.Open(caller, port, aTime, aRandom() % 3 == 0 ? 1 : 0);
      if (decision.mUpstream != nullptr && aRandom() % 2 == 0) {
        const auto chosen = decision.mUpstream->mToken;
        aFixture.Send(caller, port, chosen, 1, 1, 100, aTime);
        if (aRandom() % 2 == 0) {
          aFixture.Send(
            caller, port, chosen, 1, 1, 100, aTime + milliseconds(1));
        } else {
          aFixture.Send(
            caller, port, chosen, 101, 500, 0, aTime + milliseconds(1));
        }
      }
  }
}

// Guards against load or evidence that reports to the control thread miss,
// because its upstream was not marked or was forgotten too early.
TEST(UpstreamTable, ObservedUpstreamsEqualThoseOfAFullPass)
{
  std::minstd_rand random(5);
  RouterFixture fixture;
  fixture.mDirectory.mUpstreams = DrawDirectory(random).mUpstreams;
  fixture.Publish(milliseconds(0));
  std::size_t seen = 0;
  std::size_t unresponsive = 0;
  for (int tick = 1; tick < 8000; ++tick) {
    const auto time = tick * milliseconds(25);
    // Without packets for a second now and then, so that load and evidence
    // cease.
    if (tick % 400 > 100) {
      ApplyRandomEvent(fixture, random, time);
    }
    OnTick(fixture.mRouter, At(time + milliseconds(5)));
    AbandonUnansweredRequests(fixture.mRouter);
    fixture.mRouter.mLivenessChanges.clear();
    const auto expected = ObservedOfAll(fixture.mRouter.mUpstreams);
    const auto observed = ObservedUpstreams(fixture.mRouter.mUpstreams);
    ASSERT_EQ(
      std::vector<const UpstreamRecord*>(observed.begin(), observed.end()),
      expected)
      << "tick " << tick;
    seen += observed.size();
    unresponsive += static_cast<std::size_t>(
      std::ranges::count_if(observed, [](const auto* aRecord) {
        return aRecord->mFailureDetector.mLiveness != Liveness::Responsive;
      }));
  }
  EXPECT_GT(seen, 8000U);
  EXPECT_GT(unresponsive, 100U);
}

} // namespace
} // namespace sassafrasknot::flows
