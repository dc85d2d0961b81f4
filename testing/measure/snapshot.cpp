// Measures building a snapshot after a change of the configuration or of the
// membership, at the size that the fleet is planned for: 410 services, 6,700
// upstreams and 590 instances in 7 data centres.
#include "sassafrasknot/state/hashing.hpp"
#include "sassafrasknot/state/sample_documents.hpp"
#include "sassafrasknot/state/snapshot_builder.hpp"

#include <benchmark/benchmark.h>

namespace {

using namespace sassafrasknot::state;

constexpr std::size_t kServices = 410;
constexpr std::size_t kUpstreams = 6700;
constexpr std::size_t kInstances = 590;
constexpr std::size_t kDataCentres = 7;

/// Makes the organisation with this index, with its part of all upstreams.
ConfigurationRecord
MakeOrganisationOfSize(std::size_t aIndex, Revision aRevision)
{
  std::vector<std::uint32_t> upstreams;
  for (auto index = aIndex; index < kUpstreams; index += kServices) {
    upstreams.push_back(static_cast<std::uint32_t>(index));
  }
  return sample::MakeOrganisation("organisation-" + std::to_string(aIndex),
                                  aRevision,
                                  static_cast<std::uint32_t>(aIndex + 1),
                                  upstreams,
                                  "dc-" +
                                    std::to_string(aIndex % kDataCentres));
}

/// Configuration and members of the fleet as one instance has them.
struct Fleet
{
  ConfigurationStore mStore;
  SnapshotBuilder mBuilder;
  SnapshotInput mInput;
  Revision mRevision = 1;
  TimePoint mNow{ std::chrono::hours(1) };

  Fleet()
  {
    std::vector<ConfigurationRecord> records{ sample::MakeTemplate(1) };
    for (std::size_t index = 0; index < kServices; ++index) {
      records.push_back(MakeOrganisationOfSize(index, ++mRevision));
    }
    MergeRecords(mStore, records, mRevision, std::nullopt);
    UpdateServices(mBuilder, mStore, mNow);
    mInput.mSelf = { "entry-1000" };
    mInput.mDataCentre = { "dc-0" };
    for (std::size_t index = 0; index < kInstances; ++index) {
      InstanceView view;
      view.mId = { "entry-" + std::to_string(1000 + index) };
      view.mDataCentre = { "dc-" + std::to_string(index % kDataCentres) };
      view.mHash = HashBytes(view.mId.mValue);
      mInput.mInstances.push_back(view);
    }
  }

  /// Changes each service four times, so that it has earlier tables.
  void FillHistory()
  {
    for (std::size_t round = 0; round < 4; ++round) {
      std::vector<ConfigurationRecord> records;
      for (std::size_t index = 0; index < kServices; ++index) {
        records.push_back(MakeChange(index, round));
      }
      Apply(records);
    }
  }

  /// Makes a change of one organisation: in even rounds its last upstream is
  /// removed, in odd ones added again.
  ConfigurationRecord MakeChange(std::size_t aIndex, std::size_t aRound)
  {
    auto record = MakeOrganisationOfSize(aIndex, ++mRevision);
    auto document = std::get<OrganisationDocument>(*record.mDocument);
    // The upstreams differ between rounds, so that the tables change as well.
    if (aRound % 2 == 0) {
      document.mServices.front().mUpstreams.pop_back();
    }
    record.mDocument = std::make_shared<const Document>(document);
    return record;
  }

  /// Merges records into the store and updates the services, 62 s apart.
  void Apply(const std::vector<ConfigurationRecord>& aRecords)
  {
    MergeRecords(mStore, aRecords, mRevision, mStore.mCompleteRevision);
    UpdateServices(mBuilder, mStore, mNow);
    mNow += std::chrono::seconds(62);
  }
};

/// Measures a change of one organisation and the snapshot after it.
void
ConfigurationChange(benchmark::State& aState)
{
  Fleet fleet;
  fleet.FillHistory();
  std::size_t index = 0;
  for (auto _ : aState) {
    fleet.Apply({ fleet.MakeChange(index % kServices, index / kServices) });
    ++index;
    benchmark::DoNotOptimize(BuildSnapshot(fleet.mBuilder, fleet.mInput));
  }
}

/// Measures the snapshot after one instance has failed or returned.
void
MembershipChange(benchmark::State& aState)
{
  Fleet fleet;
  fleet.FillHistory();
  std::size_t index = 0;
  for (auto _ : aState) {
    auto& instance =
      fleet.mInput.mInstances.at((index++ * kDataCentres) % kInstances);
    instance.mState = instance.mState == InstanceState::Live
                        ? InstanceState::Dead
                        : InstanceState::Live;
    benchmark::DoNotOptimize(BuildSnapshot(fleet.mBuilder, fleet.mInput));
  }
}

BENCHMARK(ConfigurationChange)->Unit(benchmark::kMillisecond);
BENCHMARK(MembershipChange)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
