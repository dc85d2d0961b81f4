#ifndef SASSAFRASKNOT_REVIEW_DEPLOYMENT_HPP
#define SASSAFRASKNOT_REVIEW_DEPLOYMENT_HPP

#include <memory>
#include <string>
#include <vector>

#include "net.hpp"
#include "process.hpp"
#include "record.hpp"
#include "store.hpp"
#include "target.hpp"

namespace review {

/// @brief A route of the configuration.
struct Route
{
  Endpoint mEndpoint;
  std::string mService;
  std::string mKind = "idempotent";
};

/// @brief One machine with its process.
struct Node
{
  std::size_t mNumber = 0;
  std::string mZone;
  /// Address that its sockets are bound to, and the one in front of it at which
  /// other machines reach it.
  Endpoint mListen;
  Endpoint mAdvertised;
  std::shared_ptr<DatagramSocket> mFleetRelay;
  std::shared_ptr<ConnectionProxy> mFleetProxy;
  std::unique_ptr<Process> mProcess;
  /// The platform sent SIGTERM, so that the next end is no end of its own.
  bool mStopping = false;
  int mOwnEnds = 0;
  /// Readiness checks that were missed in a row.
  int mMisses = 2;
  /// Last start, signal or freeze.
  Clock::time_point mDisturbed;
  bool mFrozen = false;
};

/// @brief A deployment: machines in zones, the store, the operator, targets and
/// routers.
class Deployment
{
public:
  Deployment(io_context& aContext, Record& aRecord, std::string aFolder);

  /// @brief Adds a machine without starting it.
  void AddNode(const std::string& aZone);
  /// @brief Starts the processes of all machines, and restarts each that ends.
  void StartNodes();
  /// @brief Writes the settings file of a machine.
  void WriteSettings(const Node& aNode) const;
  /// @brief Starts a target and writes its entry.
  void AddTarget(const std::string& aService, const std::string& aZone);
  /// @brief Writes the next version of the configuration.
  void Configure();
  /// @brief Starts the readiness checks of the routers.
  void StartRouters();
  /// @brief Sends a caller's packet to the machine that the routers choose.
  void Forward(const std::string& aZone,
               const FlowKey& aKey,
               DatagramSocket& aSocket,
               const std::string& aBytes);
  /// @brief Returns whether all machines are in rotation.
  bool IsReady() const;
  /// @brief Returns the target at which a flow is open, or null.
  const Target* TargetOf(const FlowKey& aKey) const;
  /// @brief Returns the machine with a traffic endpoint, or null.
  const Node* NodeAt(const Endpoint& aEndpoint) const;
  /// @brief Returns whether a machine was undisturbed for the stable window.
  static bool IsInTouch(const Node& aNode);
  /// @brief Returns an endpoint on the loopback network of this run.
  Endpoint At(unsigned aKind, std::size_t aNumber, std::uint16_t aPort) const;

  io_context& mContext;
  Record& mRecord;
  Store mStore;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::vector<std::shared_ptr<Target>> mTargets;
  /// Servers of the store, by the order of their start.
  std::vector<std::shared_ptr<HttpServer>> mStoreServers;
  /// Routes of the next version; the operator's own.
  std::vector<Route> mRoutes;
  /// The store's address and grace_s as the settings give them.
  Endpoint mStoreAddress;
  std::string mGraceSeconds = "6";

private:
  void ReserveNetwork();
  void StartProcess(Node& aNode);
  void CheckProcesses();
  void CheckReadiness();

  std::string mFolder;
  std::uint32_t mNetwork = 0;
  std::shared_ptr<DatagramSocket> mReservation;
  std::uint64_t mVersion = 4;
  std::uint64_t mNextTag = 0x7f3a910000;
};

} // namespace review

#endif
