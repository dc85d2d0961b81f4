// Measures the processor time of the regular work of one instance of the
// platform's daemon, by step and number of upstreams, at the intervals of the
// platform.
#include "regular_cost.hpp"

#include "sassafrasknot/edge/traffic_log.hpp"
#include "sassafrasknot/messages/fleet_codec.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include "store_format.hpp"

namespace {

using namespace sassafrasknot;
using measure::Deployment;
using std::chrono::milliseconds;

constexpr double kTicksPerSecond = 40;
/// Assumed changes of the store's items, as during a rolling restart.
constexpr double kChangesPerSecond = 1;

/// A step that is repeated at regular intervals.
struct Step
{
  std::string mName;
  /// Runs per second; 0 for work at the start only.
  std::function<double(std::size_t)> mRate;
  std::function<void(Deployment&)> mRun;
};

double
ThreadSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Returns the microseconds of one run: the lowest mean of several batches,
/// since other processes on the machine disturb some of them.
double
MicrosecondsPerRun(Deployment& aDeployment, const Step& aStep)
{
  constexpr double kBatchSeconds = 0.02;
  constexpr int kBatches = 7;
  double best = 1e9;
  aStep.mRun(aDeployment);
  for (int batch = 0; batch < kBatches; ++batch) {
    const double started = ThreadSeconds();
    double elapsed = 0;
    std::size_t runs = 0;
    while (elapsed < kBatchSeconds) {
      aStep.mRun(aDeployment);
      ++runs;
      elapsed = ThreadSeconds() - started;
    }
    best = std::min(best, elapsed * 1e6 / static_cast<double>(runs));
  }
  return best;
}

void
TickRouter(Deployment& aDeployment)
{
  // Much less than the interval, so that no flow expires while this is
  // repeated.
  aDeployment.mNow += std::chrono::nanoseconds(10);
  flows::OnTick(aDeployment.mRouter, aDeployment.mNow);
}

void
ApplyPeerLoads(Deployment& aDeployment)
{
  flows::SetPeerLoads(aDeployment.mRouter.mUpstreams,
                      aDeployment.mPeerLoads.mLoads,
                      aDeployment.mPeerLoads.mMeanUtilisations);
}

/// Changes the state of one upstream in the builder.
void
ToggleDraining(Deployment& aDeployment)
{
  auto upstream =
    aDeployment.mBuilder.mUpstreams.begin()->second.mListed.mUpstream;
  upstream.mDraining = !upstream.mDraining;
  flows::UpsertUpstream(aDeployment.mBuilder, upstream);
}

void
PublishChange(Deployment& aDeployment)
{
  ToggleDraining(aDeployment);
  flows::OnDirectory(aDeployment.mRouter,
                     flows::BuildNextDirectory(aDeployment.mBuilder, 2),
                     aDeployment.mNow);
}

/// Adds or removes one upstream, so that the pools change.
void
PublishMember(Deployment& aDeployment)
{
  auto& builder = aDeployment.mBuilder;
  const auto upstream = builder.mUpstreams.rbegin()->second.mListed.mUpstream;
  auto added = upstream;
  added.mId = "i-added";
  added.mDraining = true;
  if (builder.mUpstreams.contains(added.mId)) {
    flows::RemoveUpstream(builder, added.mId, aDeployment.mNow);
  } else {
    flows::UpsertUpstream(builder, added);
  }
  flows::OnDirectory(aDeployment.mRouter,
                     flows::BuildNextDirectory(builder, 2),
                     aDeployment.mNow);
}

/// Decodes the records of a full copy into a directory builder.
void
DecodeRecords(Deployment& aDeployment)
{
  const auto format = platform::MakeStoreFormat();
  flows::DirectoryBuilder builder;
  for (const auto& record : aDeployment.mRecords) {
    const auto content = format.mDecodeRecord(record);
    if (!content) {
      std::fprintf(stderr,
                   "%s: %s: %s\n",
                   record.mKey.c_str(),
                   record.mValue.c_str(),
                   content.error().mMessage.c_str());
      std::exit(1);
    }
    if (const auto* upstream = std::get_if<flows::Upstream>(&content.value())) {
      flows::UpsertUpstream(builder, *upstream);
    }
  }
}

/// One second of the messages of other instances, the ticks of the control
/// thread and the messages that they send, encoded.
void
ExchangeForOneSecond(Deployment& aDeployment)
{
  auto& core = aDeployment.mCore;
  constexpr int kTicks = 40;
  const auto groups = fleet::GroupLocalPeers(core.mPeers, aDeployment.mNow);
  auto& messages = aDeployment.mMessages;
  const auto encode = [&](const auto& aPeers, std::size_t aLoads) {
    for (const auto* peer : aPeers) {
      messages.push_back(messages::EncodeMessage(
        measure::MakeNeighbourMessage(aDeployment, peer->mMember, aLoads)));
    }
  };
  if (messages.empty()) {
    encode(groups.mNeighbours, 10);
    encode(groups.mOthers, 0);
  }
  const auto neighbours = groups.mNeighbours.size();
  // Without this, remote members would be dead after some seconds of virtual
  // time.
  for (auto& [endpoint, peer] : core.mPeers.mPeers) {
    peer.mLastContact = aDeployment.mNow;
  }
  std::size_t next = neighbours;
  for (int tick = 0; tick < kTicks; ++tick) {
    aDeployment.mNow += milliseconds(25);
    for (const auto& message : fleet::OnTick(core, aDeployment.mNow).mSend) {
      messages::EncodeMessage(message.mMessage);
    }
    fleet::UpstreamsToProbe(core, aDeployment.mNow);
    // The position and loads for the traffic thread.
    fleet::PeerLoads(core);
    fleet::LocalPosition(core.mPeers, aDeployment.mNow);
    const auto receive = [&](const std::string& aBytes) {
      const auto decoded = messages::DecodeMessage(
        { reinterpret_cast<const std::uint8_t*>(aBytes.data()),
          aBytes.size() });
      fleet::OnMessage(core, decoded.value(), {}, aDeployment.mNow);
    };
    // Each neighbour sends every 80 ms, the others every 1,150 ms.
    if (tick % 3 == 0) {
      for (std::size_t index = 0; index < neighbours; ++index) {
        receive(messages[index]);
      }
    }
    for (int count = 0; count < 2 && next < messages.size(); ++count) {
      receive(messages[next++]);
    }
  }
}

std::vector<Step>
MakeSteps()
{
  const auto rate = [](double aPerSecond) {
    return [aPerSecond](std::size_t) { return aPerSecond; };
  };
  const auto encodedCopy = [](const Deployment& aDeployment) {
    return messages::EncodeChanges(
      fleet::ChangesAfter(aDeployment.mCore.mCatalogue, 0));
  };
  return {
    { "router tick", rate(kTicksPerSecond), &TickRouter },
    { "report to the control thread",
      [](std::size_t aUpstreams) { return aUpstreams > 250 ? 1 / 0.075 : 40; },
      [](Deployment& aDeployment) {
        edge::ReportUpstreams(aDeployment.mRouter.mUpstreams);
        flows::LocalUtilisation(aDeployment.mRouter.mUpstreams);
      } },
    { "text of the dump, on request",
      rate(0),
      [](Deployment& aDeployment) {
        edge::FormatUpstreams(aDeployment.mRouter, aDeployment.mNow);
      } },
    { "loads of peers", rate(kTicksPerSecond), &ApplyPeerLoads },
    { "fleet messages and ticks", rate(1), &ExchangeForOneSecond },
    { "change of one upstream", rate(kChangesPerSecond), &PublishChange },
    { "addition or removal of one", rate(kChangesPerSecond), &PublishMember },
    { "start: encode full copy",
      rate(0),
      [encodedCopy](Deployment& aDeployment) { encodedCopy(aDeployment); } },
    { "start: decode full copy",
      rate(0),
      [encodedCopy, encoded = std::string()](Deployment& aDeployment) mutable {
        if (encoded.empty()) {
          encoded = encodedCopy(aDeployment);
        }
        messages::DecodeChanges(encoded).value();
      } },
    { "start: merge full copy",
      rate(0),
      [](Deployment& aDeployment) {
        fleet::Catalogue catalogue;
        fleet::Merge(catalogue,
                     { 0, aDeployment.mUpstreams + 1, aDeployment.mRecords });
      } },
    { "start: decode records", rate(0), &DecodeRecords },
    { "start: first directory",
      rate(0),
      [](Deployment& aDeployment) {
        auto router = flows::MakeRouter({ { "dc-0" }, {}, 7 });
        flows::OnDirectory(router,
                           flows::BuildDirectory(aDeployment.mBuilder, 1),
                           aDeployment.mNow);
      } },
  };
}

} // namespace

int
main()
{
  constexpr std::size_t kSizes[] = { 30, 300, 3000 };
  std::printf("%-30s", "microseconds per run / per second");
  for (const auto size : kSizes) {
    std::printf(" %10zu %10s", size, "");
  }
  std::printf("\n");
  std::vector<double> sums(std::size(kSizes));
  std::vector<Deployment> deployments;
  // Without it, deployments would be copied, and pools would point to the
  // records of the originals.
  deployments.reserve(std::size(kSizes));
  for (const auto size : kSizes) {
    deployments.push_back(measure::MakeDeployment(size));
  }
  for (const auto& step : MakeSteps()) {
    std::printf("%-33s", step.mName.c_str());
    for (std::size_t index = 0; index < std::size(kSizes); ++index) {
      auto copy = step;
      const double run = MicrosecondsPerRun(deployments[index], copy);
      const double perSecond = run * step.mRate(kSizes[index]);
      sums[index] += perSecond;
      std::printf(" %10.1f %10.1f", run, perSecond);
    }
    std::printf("\n");
  }
  std::printf("%-33s", "sum per second");
  for (const double sum : sums) {
    std::printf(" %10s %10.1f", "", sum);
  }
  std::printf("\n%-33s", "% of 0.028 core");
  for (const double sum : sums) {
    std::printf(" %10s %10.2f", "", sum / 1e6 / 0.028 * 100);
  }
  std::printf("\n");
  return 0;
}
