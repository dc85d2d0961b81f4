#include "sassafrasknot/flows/flow_fixture_test.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"

#include <random>
#include <string>

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

} // namespace
} // namespace sassafrasknot::flows
