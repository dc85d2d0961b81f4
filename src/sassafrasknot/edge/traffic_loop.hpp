#ifndef SASSAFRASKNOT_EDGE_TRAFFIC_LOOP_HPP
#define SASSAFRASKNOT_EDGE_TRAFFIC_LOOP_HPP

#include "sassafrasknot/edge/metrics.hpp"
#include "sassafrasknot/edge/platform_formats.hpp"
#include "sassafrasknot/edge/settings.hpp"
#include "sassafrasknot/edge/traffic_report.hpp"
#include "sassafrasknot/flows/evacuation_status.hpp"
#include "sassafrasknot/flows/flow_router.hpp"
#include "sassafrasknot/net/structured_log.hpp"
#include "sassafrasknot/net/udp_socket.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafrasknot::edge {

/// Loads of other instances and this instance's position among its local peers,
/// sent to the traffic thread.
struct PeerLoadUpdate
{
  /// Sum of the other instances' loads per upstream.
  std::map<flows::UpstreamToken, flows::UpstreamLoad> mLoads;
  /// Active requests per slot of other data centres whose loads are not known
  /// per upstream.
  std::map<state::DataCentreId, double> mMeanUtilisations;
  flows::InstancePosition mPosition;
};

/// The traffic thread: forwards callers' packets to upstreams, with a socket
/// and a flow router that no other thread uses.
class TrafficLoop
{
public:
  /// Called on the traffic thread.
  using ReportHandler = std::function<void(TrafficReport)>;

  TrafficLoop(EdgeSettings aSettings,
              PacketFormat aFormat,
              std::shared_ptr<Metrics> aMetrics,
              std::shared_ptr<net::EventLog> aLog);
  ~TrafficLoop();
  TrafficLoop(const TrafficLoop&) = delete;
  TrafficLoop& operator=(const TrafficLoop&) = delete;

  /// Binds the socket and starts the thread; returns Unavailable if the
  /// endpoint cannot be bound.
  state::Result<void> Start(ReportHandler aHandler);
  /// Ends the thread and waits for it.
  void Stop();

  /// The following functions may be called from any thread; they take effect on
  /// the traffic thread.
  /// Replaces the directory, which is the part of the catalogue that traffic
  /// uses, and processes the packets held until the first one.
  void SetDirectory(std::shared_ptr<const flows::Directory> aDirectory);
  /// Records when the store confirmed the last directory as its newest.
  void ConfirmDirectory(state::TimePoint aConfirmedAt);
  /// Replaces the loads of other instances and this instance's position.
  void SetPeerLoads(PeerLoadUpdate aUpdate);
  /// Replaces the speeds of upstreams that other instances report.
  void SetSharedSpeeds(
    std::map<flows::UpstreamToken, flows::SharedSpeed> aSpeeds);
  /// Replaces the view of the fleet, which determines the cold upstreams on
  /// which this instance places flows.
  void SetFleetView(flows::FleetView aView);
  /// Marks upstreams that other instances have found unresponsive.
  void ApplyUnresponsiveReports(std::set<flows::UpstreamToken> aTokens);
  /// Records that upstreams responded to probes, which this or another instance
  /// sent at the given times.
  void ApplyProbeSuccesses(
    std::map<flows::UpstreamToken, state::TimePoint> aProbes);
  /// Formats the upstreams for the dump and calls the handler on the traffic
  /// thread. The text takes milliseconds of a core with thousands of upstreams,
  /// so it is made on request only.
  void RequestUpstreamDump(std::function<void(std::string)> aHandler);

private:
  void ScheduleTick();
  void Tick();
  void Report(state::TimePoint aNow);
  void OnDatagram(std::span<std::uint8_t> aDatagram);
  /// Keeps a packet until the first directory, or drops it if there are too
  /// many.
  void Hold(std::span<const std::uint8_t> aDatagram);
  void ReleaseHeld();
  void Execute(const flows::CallerPacket& aPacket,
               const flows::Decision& aDecision,
               std::span<std::uint8_t> aDatagram);
  void LogDecision(const flows::CallerPacket& aPacket,
                   const flows::Decision& aDecision);
  /// Logs changes of liveness, and resets the flows that the router abandons
  /// because their upstream became unresponsive.
  void HandleLivenessChanges();
  void LogLivenessChanges();

  EdgeSettings mSettings;
  PacketFormat mFormat;
  std::shared_ptr<Metrics> mMetrics;
  std::shared_ptr<net::EventLog> mLog;
  ReportHandler mReportHandler;
  flows::FlowRouter mRouter;
  /// Time of the last datagram.
  state::TimePoint mLastPacket;
  state::TimePoint mNextReport;
  state::TimePoint mNextSpeedReport;
  state::TimePoint mNextEvacuationStatus;
  std::map<state::DataCentreId, flows::EvacuationStatus> mEvacuations;
  /// Packets that arrived before the first directory.
  std::vector<std::vector<std::uint8_t>> mHeld;
  boost::asio::io_context mContext{ 1 };
  boost::asio::steady_timer mTimer{ mContext };
  std::shared_ptr<net::UdpSocket> mSocket;
  std::thread mThread;
};

} // namespace sassafrasknot::edge

#endif
