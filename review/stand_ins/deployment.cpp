#include "deployment.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <utility>

#include <boost/system/system_error.hpp>

namespace review {
namespace {

/// Kinds of hosts, the third byte of their addresses.
constexpr unsigned kListenHosts = 1;
constexpr unsigned kAdvertisedHosts = 2;
constexpr unsigned kTargetHosts = 4;
constexpr unsigned kStoreHosts = 5;
constexpr unsigned kReservationHosts = 7;

/// Figures of the platform's pages.
constexpr milliseconds kReadinessPeriod{ 500 };
constexpr int kMissesToLeave = 2;
constexpr milliseconds kStableWindow{ 4000 };

/// A readiness check without an answer after this time is missed.
constexpr milliseconds kReadinessTimeout{ 250 };
/// Delay of messages to another zone: 0.9 ms on krampon-prod.
constexpr milliseconds kZoneDelay{ 1 };
/// Delay of the restart of a process that has ended.
constexpr milliseconds kRestartDelay{ 500 };
constexpr milliseconds kProcessCheckPeriod{ 20 };
/// Limits of a machine of krampon-prod.
constexpr const char* kLimits =
  R"({"cpu_share":0.25,"cpu_cores":1,"memory_mb":260,"max_fds":4100,)"
  R"("link_mbps":1000.0,"disk_mb":0})";

std::string
FormatRoute(const Route& aRoute, std::size_t aNumber)
{
  return R"({"name":"r-)" + std::to_string(aNumber) + R"(","host":")" +
         AddressOf(aRoute.mEndpoint) + R"(","prefix":"/)" +
         std::to_string(aRoute.mEndpoint.mPort) + R"(/","type":")" +
         aRoute.mKind +
         R"(","timeout_ms":2500,"aim_ms":250,"priority":2,"backend":")" +
         aRoute.mService + R"(","attempts":2})";
}

std::string
FormatService(const std::string& aName)
{
  return R"({"name":")" + aName +
         R"(","health_check_path":"/health","max_connections":2000,)"
         R"("protocol":"h1","tls":false})";
}

} // namespace

Deployment::Deployment(io_context& aContext,
                       Record& aRecord,
                       std::string aFolder)
  : mContext(aContext)
  , mRecord(aRecord)
  , mStore(aContext)
  , mFolder(std::move(aFolder))
{
  ReserveNetwork();
  mStoreAddress = At(kStoreHosts, 0, kStorePort);
}

void
Deployment::ReserveNetwork()
{
  constexpr std::uint32_t kFirst = 130;
  constexpr std::uint32_t kLast = 220;
  for (std::uint32_t network = kFirst; network < kLast; ++network) {
    mNetwork = 127U << 24U | network << 16U;
    try {
      mReservation = std::make_shared<DatagramSocket>(
        mContext, At(kReservationHosts, 0, kStorePort));
      return;
    } catch (const boost::system::system_error&) {
      continue; // Another run uses this network.
    }
  }
  throw std::runtime_error("no loopback network is free");
}

Endpoint
Deployment::At(unsigned aKind, std::size_t aNumber, std::uint16_t aPort) const
{
  return { mNetwork | aKind << 8U | static_cast<std::uint32_t>(aNumber + 1),
           aPort };
}

void
Deployment::AddNode(const std::string& aZone)
{
  auto added = std::make_unique<Node>();
  auto& node = *added;
  node.mNumber = mNodes.size();
  node.mZone = aZone;
  node.mListen = At(kListenHosts, node.mNumber, kTrafficPort);
  node.mAdvertised = At(kAdvertisedHosts, node.mNumber, kFleetPort);
  const auto fleet = At(kListenHosts, node.mNumber, kFleetPort);
  node.mFleetRelay =
    std::make_shared<DatagramSocket>(mContext, node.mAdvertised);
  node.mFleetRelay->Start(
    [this, &node, fleet](const Endpoint& aFrom, std::string_view aBytes) {
      const auto sender = std::ranges::find_if(mNodes, [&](const auto& aNode) {
        return aNode->mListen.mAddress == aFrom.mAddress;
      });
      const bool isRemote =
        sender != mNodes.end() && (*sender)->mZone != node.mZone;
      RunAfter(mContext,
               isRemote ? kZoneDelay : milliseconds(0),
               [&node, fleet, bytes = std::string(aBytes)] {
                 node.mFleetRelay->Send(fleet, bytes);
               });
    });
  node.mFleetProxy =
    std::make_shared<ConnectionProxy>(mContext, node.mAdvertised, fleet);
  node.mFleetProxy->Start();
  mNodes.push_back(std::move(added));
}

void
Deployment::WriteSettings(const Node& aNode) const
{
  const auto at = [&aNode](std::uint16_t aPort) {
    return "\"" + ToString(Endpoint{ aNode.mListen.mAddress, aPort }) + "\"";
  };
  std::string seeds;
  for (std::size_t index = 0; index < std::min<std::size_t>(3, mNodes.size());
       ++index) {
    seeds +=
      (index > 0 ? ",\"" : "\"") +
      ToString(Endpoint{ mNodes[index]->mAdvertised.mAddress, kAdminPort }) +
      "\"";
  }
  const auto path = mFolder + "/" + std::to_string(aNode.mNumber) + ".json";
  std::ofstream file(path + ".new");
  file
    << R"({"node_name":"edge-)" << aNode.mNumber
    << R"(","role":"instance","machine_class":"edge",)"
    << R"("serves":["edge","control_plane"],"ip":")"
    << AddressOf(aNode.mAdvertised) << R"(","zone":")" << aNode.mZone
    << R"(","region":"cz-central","zones":{"a":"cz-central","b":"cz-central",)"
    << R"("c":"cz-central"},)"
    << R"("listen":{"datagram_addr":)" << at(kTrafficPort) << R"(,"readiness":)"
    << at(kReadinessPort) << R"(,"admin":)" << at(kAdminPort)
    << R"(},"internal_ports":[)" << kFleetPort << "," << kFleetPort + 15
    << R"(],"seeds":[)" << seeds
    << R"(],"bootstrap":true,"loss_counts":false,"limits":)" << kLimits
    << R"(,"data_dir":null,"discovery":"platform","entry":"announce",)"
    << R"("heartbeat_ms":1200,"contracts":["base","drain","config","cost",)"
    << R"("recover","flows","platform"],"fault_tolerance":{"machines":2,)"
    << R"("zones":1,"regions":0},"bounds":{"seed_lag_s":3,"reuse_delay_s":2,)"
    << R"("stable_window_ms":4000,"ack_timeout_ms":5000,"catch_up_s":4,)"
    << R"("drain_timeout_ms":3000,"grace_s":)" << mGraceSeconds
    << R"(,"loss_slack_ms":200,"config_apply_ms":3000,)"
    << R"("rollback_slack_ms":250,"max_stretch_ms":12000,"recovery_s":12,)"
    << R"("flow_ms":2000,"max_flow_s":60},"hash":"mod","forwarding":"echo",)"
    << R"("platform":{"address":")" << ToString(mStoreAddress)
    << R"(","forwarding":"read","writes_per_s":400,"reads_per_s":2000,)"
    << R"("retention_s":20,"value_bytes":1048576,"min_ttl_ms":1000}})" << '\n';
  file.close();
  std::rename((path + ".new").c_str(), path.c_str());
}

void
Deployment::StartProcess(Node& aNode)
{
  const auto base = mFolder + "/" + std::to_string(aNode.mNumber);
  mRecord.Line("machine " + std::to_string(aNode.mNumber) + " (zone " +
               aNode.mZone + ") starts");
  aNode.mStopping = false;
  aNode.mDisturbed = Clock::now();
  aNode.mProcess = std::make_unique<Process>(base + ".json", base + ".log");
}

void
Deployment::StartNodes()
{
  for (const auto& node : mNodes) {
    WriteSettings(*node);
    StartProcess(*node);
  }
  CheckProcesses();
}

void
Deployment::CheckProcesses()
{
  for (const auto& node : mNodes) {
    if (!node->mProcess) {
      continue;
    }
    if (const auto status = node->mProcess->Status()) {
      mRecord.Line("machine " + std::to_string(node->mNumber) +
                   (node->mStopping ? " has stopped" : " ENDS BY ITSELF") +
                   ", status " + std::to_string(*status));
      node->mOwnEnds += node->mStopping ? 0 : 1;
      node->mProcess.reset();
      RunAfter(
        mContext, kRestartDelay, [this, &node = *node] { StartProcess(node); });
    }
  }
  RunAfter(mContext, kProcessCheckPeriod, [this] { CheckProcesses(); });
}

void
Deployment::AddTarget(const std::string& aService, const std::string& aZone)
{
  mNextTag += 0x10001;
  auto target =
    std::make_shared<Target>(mContext,
                             mRecord,
                             mNextTag,
                             aService,
                             At(kTargetHosts, mTargets.size(), kTargetPort));
  target->Start();
  mStore.Put("servers/" + target->Id(), target->Entry(aZone));
  mTargets.push_back(std::move(target));
}

void
Deployment::Configure()
{
  mVersion += 3;
  std::string routes;
  for (std::size_t index = 0; index < mRoutes.size(); ++index) {
    routes += (index > 0 ? "," : "") + FormatRoute(mRoutes[index], index);
  }
  mStore.Put("op/config",
             R"({"version":)" + std::to_string(mVersion) + R"(,"routes":[)" +
               routes + R"(],"backends":[)" + FormatService("desk") + "," +
               FormatService("intake") +
               R"(],"limits":{"max_header_bytes":16384,)"
               R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
               R"("idle_timeout_ms":15000}})");
  mRecord.Line("version " + std::to_string(mVersion) +
               " of the configuration is acknowledged: " +
               std::to_string(mRoutes.size()) + " routes");
}

void
Deployment::StartRouters()
{
  CheckReadiness();
}

void
Deployment::CheckReadiness()
{
  for (const auto& node : mNodes) {
    Get(mContext,
        { node->mListen.mAddress, kReadinessPort },
        "/-/ready",
        kReadinessTimeout,
        [this, &node = *node](unsigned aStatus) {
          const bool wasIn = node.mMisses < kMissesToLeave;
          node.mMisses = aStatus == 200 ? 0 : node.mMisses + 1;
          if (const bool isIn = node.mMisses < kMissesToLeave; isIn != wasIn) {
            mRecord.Line("machine " + std::to_string(node.mNumber) +
                         (isIn ? " joins" : " leaves") + " the rotation");
          }
        });
  }
  RunAfter(mContext, kReadinessPeriod, [this] { CheckReadiness(); });
}

void
Deployment::Forward(const std::string& aZone,
                    const FlowKey& aKey,
                    DatagramSocket& aSocket,
                    const std::string& aBytes)
{
  std::vector<const Node*> all;
  std::vector<const Node*> ready;
  for (const auto& node : mNodes) {
    if (node->mZone == aZone) {
      all.push_back(node.get());
      if (node->mMisses < kMissesToLeave) {
        ready.push_back(node.get());
      }
    }
  }
  const auto& chosen = 2 * ready.size() < all.size() ? all : ready;
  const auto hash = std::hash<std::string>{}(FormatFlow(aKey));
  aSocket.Send(chosen[hash % chosen.size()]->mListen, aBytes);
}

bool
Deployment::IsReady() const
{
  return std::ranges::all_of(
    mNodes, [](const auto& aNode) { return aNode->mMisses == 0; });
}

const Target*
Deployment::TargetOf(const FlowKey& aKey) const
{
  const auto found = std::ranges::find_if(
    mTargets, [&](const auto& aTarget) { return aTarget->HasOpen(aKey); });
  return found == mTargets.end() ? nullptr : found->get();
}

const Node*
Deployment::NodeAt(const Endpoint& aEndpoint) const
{
  const auto found = std::ranges::find_if(
    mNodes, [&](const auto& aNode) { return aNode->mListen == aEndpoint; });
  return found == mNodes.end() ? nullptr : found->get();
}

bool
Deployment::IsInTouch(const Node& aNode)
{
  return !aNode.mFrozen && Clock::now() - aNode.mDisturbed > kStableWindow;
}

} // namespace review
