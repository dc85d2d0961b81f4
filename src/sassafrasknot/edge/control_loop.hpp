#ifndef SASSAFRASKNOT_EDGE_CONTROL_LOOP_HPP
#define SASSAFRASKNOT_EDGE_CONTROL_LOOP_HPP

#include "sassafrasknot/edge/metrics.hpp"
#include "sassafrasknot/edge/platform_formats.hpp"
#include "sassafrasknot/edge/settings.hpp"
#include "sassafrasknot/fleet/fleet_core.hpp"
#include "sassafrasknot/fleet/probe_schedule.hpp"
#include "sassafrasknot/flows/directory_builder.hpp"
#include "sassafrasknot/net/http_server.hpp"
#include "sassafrasknot/net/structured_log.hpp"
#include "sassafrasknot/net/udp_socket.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store_client.hpp"
#include "traffic_loop.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafrasknot::edge {

/// Path of the changes that an instance serves to others.
constexpr std::string_view kChangesTarget = "/changes?after=";

/// Runs the fleet core and connects it with the store, the other instances and
/// the traffic thread.
class ControlLoop
{
public:
  using Reload = std::function<state::Result<EdgeSettings>()>;

  ControlLoop(EdgeSettings aSettings,
              PlatformFormats aAdapters,
              Reload aReload);

  state::Result<void> Open();
  /// Runs until a planned stop has ended.
  void Run();

private:
  void ScheduleTick();
  void Tick();
  void WaitForSignal();
  void BeginStop();
  void CheckStop(state::TimePoint aNow);
  void ReloadSettings();
  void Execute(const fleet::FleetActions& aActions);
  void StartRead(const fleet::StoreRead& aRead);
  void ProbeUpstreams(state::TimePoint aNow);
  void StartProbe(const flows::Upstream& aUpstream);
  void StartPull(const fleet::PullRequest& aPull);
  void ApplyChangedKeys(const std::vector<std::string>& aKeys);
  void ApplyRecord(const fleet::Record& aRecord);
  void PublishDirectory();
  void UpdateStoreReachability(bool aReachable, const std::string& aReason);
  void OnFleetDatagram(std::span<std::uint8_t> aDatagram);
  void OnTrafficReport(TrafficReport aReport);
  bool IsReady() const;
  net::HttpServerResponse ServeReadiness(std::string_view aTarget);
  net::HttpServerResponse ServeAdmin(std::string_view aTarget);
  net::HttpServerResponse ServeFleet(std::string_view aTarget);
  /// Returns what ServeFleet sends to an instance that knows a revision.
  std::string EncodeChangesAfter(state::Revision aAfter);
  std::string FormatDump() const;

  EdgeSettings mSettings;
  PlatformFormats mFormats;
  Reload mReload;
  std::shared_ptr<Metrics> mMetrics = std::make_shared<Metrics>();
  std::shared_ptr<net::EventLog> mLog;
  fleet::FleetCore mCore;
  flows::DirectoryBuilder mDirectoryBuilder;
  bool mDirectoryOutdated = false;
  bool mDirectoryPublished = false;
  bool mStoreReachable = true;
  bool mSilenceNews = false;
  bool mPeerLoadsChanged = false;
  fleet::ProbeSchedule mProbeSchedule;
  std::optional<state::TimePoint> mStopStarted;
  state::TimePoint mNextConfirmedAge;
  /// Full copy of the catalogue as it was last encoded, and its revision.
  std::pair<state::Revision, std::string> mEncodedCatalogue;
  TrafficReport mTrafficReport;
  boost::asio::io_context mContext{ 1 };
  boost::asio::steady_timer mTimer{ mContext };
  boost::asio::signal_set mSignals{ mContext };
  std::shared_ptr<net::UdpSocket> mFleetSession;
  std::vector<std::shared_ptr<net::HttpServer>> mServers;
  TrafficLoop mTraffic;
};

} // namespace sassafrasknot::edge

#endif
