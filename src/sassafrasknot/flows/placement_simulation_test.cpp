#include "placement_simulation_test.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numbers>
#include <queue>

#include "flow_fixture_test.hpp"

namespace sassafrasknot::flows {
namespace {

constexpr Seconds kBaseWork{ 0.015 };
/// 97% between 0.8 and 1.2 of the base, 3% seven times that.
constexpr Seconds kMeanWork = kBaseWork * 1.18;
constexpr Seconds kMeasuredFrom{ 10 };
constexpr std::array kSpeeds{ 0.6, 1.0, 1.6 };
const state::Endpoint kRoute{ kServiceAddress, kRequestPort };

state::TimePoint
At(Seconds aTime)
{
  return flows::At(milliseconds(0)) +
         std::chrono::duration_cast<state::Duration>(aTime);
}

/// An upstream serves requests in the order of their arrival, so that the end
/// of each is known when it arrives.
struct SimulatedUpstream
{
  double mSpeed = 1;
  double mFailingShare = 0;
  std::array<Seconds, kSlots> mSlotFree{};
};

struct ActiveRequest
{
  Seconds mArrived{ 0 };
  Seconds mEnd{ 0 };
  std::size_t mInstance = 0;
  std::size_t mUpstream = 0;
  bool mFoundFreeSlot = false;
  std::uint64_t mNumber = 0;
};

struct EndsLater
{
  bool operator()(const ActiveRequest& aLeft, const ActiveRequest& aRight) const
  {
    return aLeft.mEnd > aRight.mEnd;
  }
};

/// What one instance knows.
struct SimulatedInstance
{
  std::vector<UpstreamRecord> mRecords;
  ServicePool mPool;
  WorkModel mWork;
  /// Recent peak of the latency by upstream.
  std::vector<Seconds> mPeakLatency;
  std::vector<Seconds> mPeakAt;
  /// This instance's active requests by upstream, as others know them, and the
  /// copy that they will receive next.
  std::vector<std::uint32_t> mReported;
  std::vector<std::uint32_t> mNextReport;
  Seconds mReportInterval{ 0 };
  Seconds mReportAt{ 0 };
  /// Own active requests by upstream.
  std::vector<std::vector<ActiveRequest>> mActive;
  Seconds mRefreshedAt{ 0 };
};

/// State of a run.
struct Simulation
{
  Simulation(Policy aPolicy, const SimulationSettings& aSettings);

  Policy mPolicy;
  SimulationSettings mSettings;
  std::minstd_rand mRandom;
  std::vector<SimulatedUpstream> mUpstreams;
  std::vector<SimulatedInstance> mInstances;
  std::priority_queue<ActiveRequest, std::vector<ActiveRequest>, EndsLater>
    mEnds;
  std::uint64_t mRequests = 0;
  Seconds mNextSpeeds{ 0 };
};

double
Uniform(std::minstd_rand& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

Simulation::Simulation(Policy aPolicy, const SimulationSettings& aSettings)
  : mPolicy(aPolicy)
  , mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mUpstreams(aSettings.mUpstreams)
  , mInstances(aSettings.mInstances)
{
  for (std::size_t index = 0; index < mUpstreams.size(); ++index) {
    mUpstreams[index].mSpeed = kSpeeds[index % kSpeeds.size()];
  }
  mUpstreams.front().mFailingShare = aSettings.mFailingShare;
  for (auto& instance : mInstances) {
    const auto count = mUpstreams.size();
    instance.mRecords.resize(count);
    for (std::size_t index = 0; index < count; ++index) {
      auto& record = instance.mRecords[index];
      record.mUpstream = MakeUpstream("i-" + std::to_string(index), "a");
      record.mToken = TokenOf(record.mUpstream.mId);
      instance.mPool.mAll.push_back(&record);
    }
    instance.mPeakLatency.resize(count, kBaseWork);
    instance.mPeakAt.resize(count);
    instance.mReported.resize(count);
    instance.mNextReport.resize(count);
    instance.mActive.resize(count);
    // A copy is between one and two intervals old.
    instance.mReportInterval = Seconds(0.025 + 0.075 * Uniform(mRandom));
  }
}

/// Refreshes what an instance knows of the others and of its own requests.
void
RefreshBacklogs(Simulation& aSimulation,
                SimulatedInstance& aInstance,
                Seconds aNow)
{
  for (std::size_t index = 0; index < aInstance.mRecords.size(); ++index) {
    auto& record = aInstance.mRecords[index];
    const auto& active = aInstance.mActive[index];
    record.mOwnLoad.mActiveRequests = static_cast<std::uint32_t>(active.size());
    record.mPeerLoad.mActiveRequests = 0;
    for (const auto& other : aSimulation.mInstances) {
      if (&other != &aInstance) {
        record.mPeerLoad.mActiveRequests += other.mReported[index];
      }
    }
    record.mExcessBacklog = 0;
    const auto* route = FindRouteWork(aInstance.mWork, kRoute, At(aNow));
    if (route == nullptr || aSimulation.mPolicy == Policy::LeastActive) {
      continue;
    }
    UpdateReportAverage(record,
                        MeanWork(aInstance.mWork, "scheduling", At(aNow)),
                        At(aNow) - At(aInstance.mRefreshedAt));
    const double speed = Speed(record.mSpeed, At(aNow));
    for (const auto& request : active) {
      const Work done =
        request.mFoundFreeSlot ? (aNow - request.mArrived) * speed : Work(0);
      record.mExcessBacklog +=
        ExpectedRemainingWork(*route, done) / route->mMean - 1;
    }
  }
  aInstance.mRefreshedAt = aNow;
}

std::size_t
ChooseIdeal(const Simulation& aSimulation, Work aWork, Seconds aNow)
{
  const auto end = [&](const SimulatedUpstream& aUpstream) {
    return std::max(aNow, *std::ranges::min_element(aUpstream.mSlotFree)) +
           aWork / aUpstream.mSpeed;
  };
  return static_cast<std::size_t>(
    std::ranges::min_element(aSimulation.mUpstreams, {}, end) -
    aSimulation.mUpstreams.begin());
}

std::size_t
ChoosePeakEwma(Simulation& aSimulation,
               const SimulatedInstance& aInstance,
               Seconds aNow)
{
  constexpr Seconds kDecay{ 1 };
  std::size_t best = 0;
  double bestCost = std::numeric_limits<double>::max();
  const auto first = aSimulation.mRandom() % aInstance.mRecords.size();
  for (std::size_t offset = 0; offset < aInstance.mRecords.size(); ++offset) {
    const auto index = (first + offset) % aInstance.mRecords.size();
    const auto& record = aInstance.mRecords[index];
    // Without the lower bound, an upstream whose queue is so long that it ends
    // no request for seconds would look the best.
    const Seconds latency =
      std::max(aInstance.mPeakLatency[index] *
                 std::exp((aInstance.mPeakAt[index] - aNow) / kDecay),
               kBaseWork);
    const double cost =
      latency.count() * (1.0 + record.mOwnLoad.mActiveRequests +
                         record.mPeerLoad.mActiveRequests);
    if (cost < bestCost) {
      bestCost = cost;
      best = index;
    }
  }
  return best;
}

std::size_t
Choose(Simulation& aSimulation,
       SimulatedInstance& aInstance,
       Work aWork,
       Seconds aNow)
{
  if (aSimulation.mPolicy == Policy::Ideal) {
    return ChooseIdeal(aSimulation, aWork, aNow);
  }
  RefreshBacklogs(aSimulation, aInstance, aNow);
  if (aSimulation.mPolicy == Policy::PeakEwma) {
    return ChoosePeakEwma(aSimulation, aInstance, aNow);
  }
  ServicePool pool = aInstance.mPool;
  if (aSimulation.mPolicy == Policy::TwoChoices) {
    std::ranges::shuffle(pool.mAll, aSimulation.mRandom);
    pool.mAll.resize(2);
  }
  const auto* chosen =
    ChooseUpstream(pool,
                   { FlowLength::SingleRequest, { "a" }, kNoToken },
                   {},
                   aSimulation.mRandom,
                   At(aNow));
  return static_cast<std::size_t>(chosen - aInstance.mRecords.data());
}

/// Ends a request at the instance that placed it, which learns from its time.
void
End(Simulation& aSimulation, const ActiveRequest& aRequest)
{
  auto& instance = aSimulation.mInstances[aRequest.mInstance];
  auto& record = instance.mRecords[aRequest.mUpstream];
  std::erase_if(instance.mActive[aRequest.mUpstream],
                [&](const ActiveRequest& aOther) {
                  return aOther.mNumber == aRequest.mNumber;
                });
  const auto latency = aRequest.mEnd - aRequest.mArrived;
  auto& peak = instance.mPeakLatency[aRequest.mUpstream];
  auto& peakAt = instance.mPeakAt[aRequest.mUpstream];
  const double kept = std::exp((peakAt - aRequest.mEnd) / Seconds(1));
  peak = std::max(peak * kept + latency * (1 - kept), latency);
  peakAt = aRequest.mEnd;
  if (aSimulation.mPolicy == Policy::RemainingWork ||
      aSimulation.mPolicy == Policy::TwoChoices) {
    LearnFromAnswer(instance.mWork,
                    record,
                    { kRoute, { 1 }, latency, aRequest.mFoundFreeSlot },
                    At(aRequest.mEnd));
  }
}

void
RefreshReports(Simulation& aSimulation, Seconds aNow)
{
  for (auto& instance : aSimulation.mInstances) {
    if (aNow < instance.mReportAt) {
      continue;
    }
    instance.mReportAt = aNow + instance.mReportInterval;
    instance.mReported = instance.mNextReport;
    for (std::size_t index = 0; index < instance.mActive.size(); ++index) {
      instance.mNextReport[index] =
        static_cast<std::uint32_t>(instance.mActive[index].size());
    }
  }
}

/// Gives all instances the speeds that the others report each second.
void
ShareSpeeds(Simulation& aSimulation, Seconds aNow)
{
  if (aNow < aSimulation.mNextSpeeds || !aSimulation.mSettings.mSharesSpeeds) {
    return;
  }
  aSimulation.mNextSpeeds = aNow + Seconds(1);
  for (std::size_t index = 0; index < aSimulation.mUpstreams.size(); ++index) {
    std::vector<SharedSpeed> shared(aSimulation.mInstances.size());
    for (std::size_t from = 0; from < shared.size(); ++from) {
      const auto log = LogOfReportedSpeed(ReportedSpeedPercent(
        aSimulation.mInstances[from].mRecords[index].mSpeed, At(aNow)));
      for (std::size_t to = 0; log && to < shared.size(); ++to) {
        if (to != from) {
          AddSpeedReport(shared[to], *log);
        }
      }
    }
    for (std::size_t to = 0; to < shared.size(); ++to) {
      SetSharedSpeed(aSimulation.mInstances[to].mRecords[index].mSpeed,
                     shared[to]);
    }
  }
}

/// Places a request and returns its time in the system.
ActiveRequest
Arrive(Simulation& aSimulation, Seconds aNow)
{
  RefreshReports(aSimulation, aNow);
  ShareSpeeds(aSimulation, aNow);
  while (!aSimulation.mEnds.empty() && aSimulation.mEnds.top().mEnd <= aNow) {
    End(aSimulation, aSimulation.mEnds.top());
    aSimulation.mEnds.pop();
  }
  auto& random = aSimulation.mRandom;
  const Work work = kBaseWork * (Uniform(random) < 0.03 ? 7.0 : 1.0) *
                    (0.8 + 0.4 * Uniform(random));
  ActiveRequest request;
  request.mNumber = ++aSimulation.mRequests;
  request.mArrived = aNow;
  request.mInstance = random() % aSimulation.mInstances.size();
  auto& instance = aSimulation.mInstances[request.mInstance];
  request.mUpstream = Choose(aSimulation, instance, work, aNow);
  const auto& record = instance.mRecords[request.mUpstream];
  request.mFoundFreeSlot =
    record.mOwnLoad.mActiveRequests + record.mPeerLoad.mActiveRequests < kSlots;
  auto& upstream = aSimulation.mUpstreams[request.mUpstream];
  if (Uniform(random) < upstream.mFailingShare) {
    request.mEnd = aNow + Seconds(0.001);
  } else {
    auto& slot = *std::ranges::min_element(upstream.mSlotFree);
    slot = std::max(slot, aNow) + work / upstream.mSpeed;
    request.mEnd = slot;
  }
  instance.mActive[request.mUpstream].push_back(request);
  aSimulation.mEnds.push(request);
  return request;
}

/// Returns the mean number of requests per second at a time.
double
Rate(const SimulationSettings& aSettings, Seconds aNow)
{
  constexpr double kPeriod = 13;
  constexpr double kBurstInterval = 10;
  double capacity = 0;
  for (std::size_t index = 0; index < aSettings.mUpstreams; ++index) {
    capacity += kSlots * kSpeeds[index % kSpeeds.size()];
  }
  const auto& load = aSettings.mLoad;
  const double phase = 2 * std::numbers::pi * aNow.count() / kPeriod;
  const bool isBurst = std::fmod(aNow.count(), kBurstInterval) < 1;
  return load.mUtilisation * capacity / kMeanWork.count() *
         (1 + load.mAmplitude * std::sin(phase)) * (isBurst ? load.mBurst : 1);
}

} // namespace

SimulationResult
Simulate(Policy aPolicy, const SimulationSettings& aSettings)
{
  Simulation simulation(aPolicy, aSettings);
  std::vector<Seconds> times;
  std::uint64_t first = 0;
  Seconds now{ 0 };
  while (now < aSettings.mDuration) {
    now += Seconds(-std::log(1 - Uniform(simulation.mRandom)) /
                   Rate(aSettings, now));
    const auto request = Arrive(simulation, now);
    if (now >= kMeasuredFrom) {
      times.push_back(request.mEnd - request.mArrived);
      first += request.mUpstream == 0 ? 1 : 0;
    }
  }
  std::ranges::sort(times);
  SimulationResult result;
  Seconds sum{ 0 };
  for (const auto time : times) {
    sum += time;
  }
  const auto count = static_cast<double>(times.size());
  result.mMean = sum / count;
  result.mP99 = times[times.size() * 99 / 100];
  result.mLate = static_cast<double>(times.end() - std::ranges::upper_bound(
                                                     times, 10 * kMeanWork)) /
                 count;
  result.mFirstShare = static_cast<double>(first) / count;
  double sumOfLogs = 0;
  for (const auto& instance : simulation.mInstances) {
    for (const auto& record : instance.mRecords) {
      sumOfLogs += std::log(Speed(record.mSpeed, At(now)));
    }
  }
  result.mMeanSpeed =
    std::exp(sumOfLogs /
             static_cast<double>(aSettings.mInstances * aSettings.mUpstreams));
  return result;
}

} // namespace sassafrasknot::flows
