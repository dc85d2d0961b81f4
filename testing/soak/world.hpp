#ifndef SASSAFRASKNOT_SOAK_WORLD_HPP
#define SASSAFRASKNOT_SOAK_WORLD_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "addresses.hpp"
#include "caller.hpp"
#include "child_process.hpp"
#include "disturbances.hpp"
#include "plan.hpp"
#include "relay.hpp"
#include "report.hpp"
#include "stand_ins.hpp"
#include "upstream.hpp"

namespace soak {

/// Parts of a run besides instances and upstreams, for Disturbances.
constexpr const char* kStorePart = "store";
/// Suffix of an instance's part that each of its starts disturbs, which excuses
/// nothing but bounded times.
constexpr const char* kStarts = " starts";
/// Bounds of the platform: a configuration's effect after its acknowledgement,
/// and the time from SIGTERM to SIGKILL.
constexpr std::chrono::milliseconds kConfigurationBound{ 3000 };
constexpr std::chrono::milliseconds kGrace{ 6000 };
/// Requests that begin in this time after the recovery are counted.
constexpr std::chrono::milliseconds kLate{ 4000 };
/// Service addresses: feeds and confirmations of one service, uploads of the
/// other.
inline constexpr Endpoint kDesk{ { 0xC6120001 }, 8443 };
inline constexpr Endpoint kDeskOnce{ { 0xC6120001 }, 8080 };
inline constexpr Endpoint kIntake{ { 0xC6120002 }, 8443 };

/// @brief Writes an upstream's label as in its id.
std::string
Hex(std::uint64_t aLabel);

/// @brief What one run consists of.
struct WorldOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mInstances = 6;
  std::size_t mDataCentres = 2;
  std::size_t mUpstreams = 10;
  std::size_t mCallers = 6;
  /// Feeds that are open, and requests per second of each other kind.
  std::size_t mFeeds = 40;
  double mRequestsPerSecond = 40;
  /// Time in which faults begin.
  std::chrono::milliseconds mLength{ 30000 };
  /// Program of an instance.
  std::string mDaemon;
  /// Folder for settings and logs.
  std::string mFolder;
  /// A deliberate fault that a check must find, or empty.
  std::string mSabotage;
};

/// @brief One instance with the relays in front of it.
struct Instance
{
  std::size_t mNumber = 0;
  std::string mName;
  std::string mDataCentre;
  std::shared_ptr<Port> mFleetRelay;
  std::shared_ptr<ConnectionRelay> mPullRelay;
  std::shared_ptr<ConnectionRelay> mStoreRelay;
  std::unique_ptr<ChildProcess> mProcess;
  /// Its end is the plan's doing.
  bool mIsStopping = false;
  bool mWasKilled = false;
  bool mIsPaused = false;
  /// Checks of readiness that were missed in a row.
  int mMissed = 2;
  /// Faults by which messages to it, and from it, are lost.
  int mCutsTo = 0;
  int mCutsFrom = 0;
  Clock::time_point mStopSent;
};

/// @brief Runs instances as processes and the rest of the platform in this one,
/// on one thread.
class World
{
public:
  explicit World(WorldOptions aOptions);
  ~World();

  /// @brief Plays the plan, lets the system recover and ends the instances.
  Report Run();

  /// @brief Returns the second byte of the addresses that a run uses.
  friend std::uint8_t NetworkOf(const World& aWorld)
  {
    return aWorld.mAddresses.mNetwork;
  }

private:
  struct TestRoute
  {
    Endpoint mEndpoint;
    /// When the configuration that added or removed it was acknowledged.
    Clock::time_point mSince;
    bool mIsPresent = true;
  };

  struct FlowRecord
  {
    std::uint64_t mLabel = 0; ///< Of the upstream at which it is open.
    bool mIsOpen = false;
  };

  /// Finds a network that no other run uses.
  void ClaimNetwork();
  void AddInstance(std::size_t aNumber);
  void StartProcess(Instance& aInstance);
  void WriteSettings(const Instance& aInstance) const;
  void AddUpstream(const std::string& aService, std::uint64_t aLabel);
  void PublishUpstream(const Upstream& aUpstream);
  void WithdrawUpstream(const Upstream& aUpstream);
  void PublishConfiguration();
  void AddCallers();

  void Route(std::size_t aCaller, const FlowEnds& aEnds, const std::string&);
  void Deliver(const Endpoint& aInstance,
               std::size_t aCaller,
               const std::string& aBytes);
  void RelayFleet(Instance& aTo, const Endpoint& aFrom, std::string_view);
  bool IsCut(const Instance& aInstance, std::size_t aUpstreamNumber) const;
  std::vector<Instance*> Rotation(const std::string& aDataCentre);

  void CheckReadiness();
  void CheckProcesses();
  void ProbeRoutes();
  void Ask();
  void Execute(const Fault& aFault);
  void ExecuteOnProcess(const Fault& aFault, Instance& aInstance);
  void ExecuteOnStore(const Fault& aFault);
  void ExecuteOnUpstream(const Fault& aFault);
  void ExecuteOnLinks(const Fault& aFault, Instance& aInstance);
  void Kill(Instance& aInstance);
  void Cut(Instance& aInstance, bool aBothWays, std::chrono::milliseconds);
  void CutDataCentre(std::chrono::milliseconds aFor);
  void ChangeRoutes(bool aAdd, std::size_t aTarget);
  void ReplaceUpstream(Upstream& aOld);
  void Sabotage();
  /// A deliberate fault: a reset of a flow that nothing disturbs.
  void ResetOpenFlow(const FlowEnds& aEnds, const std::string& aBytes);

  UpstreamEvents MakeUpstreamEvents(const std::string& aService,
                                    std::uint64_t aLabel);
  CallerEvents MakeCallerEvents();
  void CheckOpening(const std::string& aService,
                    std::uint64_t aLabel,
                    const FlowEnds& aEnds,
                    const Instance& aFrom);
  /// Returns whether rules with a bound hold for an instance.
  bool IsInTouch(const Instance& aInstance) const;
  /// Returns whether no fault excuses a broken flow.
  bool IsFlowCalm(const Instance& aInstance, std::uint64_t aLabel) const;

  /// Data centre of the instance, upstream or caller of a number.
  std::string DataCentreOf(std::size_t aNumber) const;
  Instance& InstanceAt(const Endpoint& aEndpoint);
  std::shared_ptr<Upstream> PickUpstream(std::size_t aTarget);
  void DisturbAll(std::chrono::milliseconds aFor);
  void DisturbPart(const std::string& aPart, std::chrono::milliseconds aFor);
  void Violate(const std::string& aRule,
               const FlowEnds& aEnds,
               const std::string& aWhat);
  void Every(std::chrono::milliseconds aPeriod, std::function<void()> aAction);

  WorldOptions mOptions;
  Addresses mAddresses;
  std::mt19937 mRandom;
  boost::asio::io_context mContext;
  /// Bound for as long as this run uses its network.
  boost::asio::ip::tcp::acceptor mClaim{ mContext };
  std::unique_ptr<sassafrasknot::testing::FakeStore> mStore;
  std::vector<std::unique_ptr<Instance>> mInstances;
  std::vector<std::shared_ptr<Upstream>> mUpstreams;
  std::vector<std::shared_ptr<Caller>> mCallers;
  std::vector<TestRoute> mTestRoutes;
  std::map<std::uint64_t, Clock::time_point> mDrained;
  std::map<FlowEnds, FlowRecord> mFlows;
  std::map<std::string, int> mRuns;
  std::set<std::string> mNotRun;
  Disturbances mDisturbances;
  Report mReport;
  std::uint64_t mVersion = 0;
  std::uint64_t mNextLabel = 0x1000;
  std::size_t mNextUpstream = 0;
  std::uint64_t mBorn = 1;
  double mLoss = 0;
  int mDataCentreCuts = 0;
  int mStoreFaults = 0;
  bool mIsOver = false;
  /// Processes that end do not start again.
  bool mHoldsStarts = false;
  Clock::time_point mStart;
  Clock::time_point mLateFrom;
};

/// @brief Writes a flow as the log of an instance does.
std::string
FlowText(const FlowEnds& aEnds);

} // namespace soak

#endif
