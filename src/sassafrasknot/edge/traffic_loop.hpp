#ifndef SASSAFRASKNOT_EDGE_TRAFFIC_LOOP_HPP
#define SASSAFRASKNOT_EDGE_TRAFFIC_LOOP_HPP

#include "sassafrasknot/edge/metrics.hpp"
#include "sassafrasknot/edge/platform_formats.hpp"
#include "sassafrasknot/edge/settings.hpp"
#include "sassafrasknot/fleet/fleet_message.hpp"
#include "sassafrasknot/flows/flow_router.hpp"
#include "sassafrasknot/net/structured_log.hpp"
#include "sassafrasknot/net/udp_socket.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafrasknot::edge {

/// What the traffic thread tells the control thread at each report.
struct TrafficReport
{
  std::vector<fleet::UpstreamLoadEntry> mOwnLoads;
  /// Upstreams that this instance itself has found silent.
  std::vector<flows::UpstreamToken> mUnresponsive;
  /// Requests at work per slot of the upstreams that this instance chooses
  /// from.
  double mLocalUtilisation = 0;
  /// All upstreams that are suspected or silent.
  std::vector<flows::UpstreamToken> mProbeCandidates;
  std::size_t mOpenFlows = 0;
  /// Time since a caller's last packet.
  state::Duration mSinceLastPacket{ 0 };
  /// Upstreams as this thread has seen them a few seconds ago, for the dump.
  std::shared_ptr<const std::string> mUpstreamDump;
};

/// What the control thread tells the traffic thread of other instances.
struct PeerLoadUpdate
{
  std::map<flows::UpstreamToken, flows::UpstreamLoad> mLoads;
  /// Requests at work per slot of other data centres whose loads are not known
  /// by upstream.
  std::map<state::DataCentreId, double> mMeanUtilisations;
  flows::InstancePosition mPosition;
};

/// Forwards callers' packets on a thread of its own.
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

  /// Binds the socket and starts the thread.
  state::Result<void> Start(ReportHandler aReporter);
  void Stop();

  /// The following may be called from any thread.
  void SetDirectory(std::shared_ptr<const flows::Directory> aDirectory);
  void SetPeerLoads(PeerLoadUpdate aView);
  void ApplyUnresponsiveReports(std::set<flows::UpstreamToken> aTokens);
  /// Upstreams that answer a probe sent at aSent.
  void ApplyProbeSuccesses(std::set<flows::UpstreamToken> aTokens,
                           state::TimePoint aSent);

private:
  void ScheduleTick();
  void Tick();
  void Report(state::TimePoint aNow);
  void OnDatagram(std::span<std::uint8_t> aDatagram);
  void Hold(std::span<const std::uint8_t> aDatagram);
  void ReleaseHeld();
  void Execute(const flows::CallerPacket& aPacket,
               const flows::Decision& aDecision,
               std::span<std::uint8_t> aDatagram);
  void LogDecision(const flows::CallerPacket& aPacket,
                   const flows::Decision& aDecision);
  void HandleLivenessChanges();
  void LogLivenessChanges();

  EdgeSettings mSettings;
  PacketFormat mFormat;
  std::shared_ptr<Metrics> mMetrics;
  std::shared_ptr<net::EventLog> mLog;
  ReportHandler mReportHandler;
  flows::FlowRouter mRouter;
  state::TimePoint mLastPacket;
  state::TimePoint mNextDump;
  state::TimePoint mNextReport;
  std::shared_ptr<const std::string> mUpstreamDump;
  /// Packets that came before the first directory.
  std::vector<std::vector<std::uint8_t>> mHeld;
  boost::asio::io_context mContext{ 1 };
  boost::asio::steady_timer mTimer{ mContext };
  std::shared_ptr<net::UdpSocket> mSession;
  std::thread mThread;
};

} // namespace sassafrasknot::edge

#endif
