#ifndef SASSAFRASKNOT_EDGE_CONTROL_LOOP_HPP
#define SASSAFRASKNOT_EDGE_CONTROL_LOOP_HPP

#include "sassafrasknot/edge/metrics.hpp"
#include "sassafrasknot/edge/platform_formats.hpp"
#include "sassafrasknot/edge/settings.hpp"
#include "sassafrasknot/fleet/fleet_core.hpp"
#include "sassafrasknot/fleet/fleet_view.hpp"
#include "sassafrasknot/fleet/probe_schedule.hpp"
#include "sassafrasknot/flows/directory_builder.hpp"
#include "sassafrasknot/net/http_server.hpp"
#include "sassafrasknot/net/structured_log.hpp"
#include "sassafrasknot/net/udp_socket.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "evacuation_report.hpp"
#include "store_client.hpp"
#include "traffic_loop.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafrasknot::edge {

/// Path and query, up to the revision, with which other instances request the
/// changes of the catalogue after a revision.
constexpr std::string_view kChangesTarget = "/changes?after=";

/// The control thread: runs the fleet core, which decides what to read and
/// send, and performs this on the store, the other instances and the traffic
/// thread. It also serves readiness, metrics, the dump and changes of the
/// catalogue. The thread that calls Run is the control thread.
class ControlLoop
{
public:
  using Reload = std::function<state::Result<EdgeSettings>()>;

  ControlLoop(EdgeSettings aSettings, PlatformFormats aFormats, Reload aReload);

  /// Binds all endpoints and starts the traffic thread; returns Unavailable if
  /// an endpoint cannot be bound.
  state::Result<void> Open();
  /// Runs until the end of a planned stop.
  void Run();

private:
  void ScheduleTick();
  void Tick();
  void WaitForSignal();
  /// Begins a planned stop: readiness checks fail from now on, while packets
  /// are still forwarded.
  void BeginStop();
  /// Ends Run if a planned stop is complete or has reached its time limit.
  void CheckStop(state::TimePoint aNow);
  /// Reads the settings again and applies them. Unless SIGHUP requested it,
  /// only changes and new errors are logged.
  void ReloadSettings(bool aIsRequested);
  /// Applies the settings that can change while the instance runs; returns
  /// whether any of them has changed.
  bool ApplySettings(const EdgeSettings& aSettings);
  /// Performs the sends, pulls and reads that the fleet core has decided on.
  void Execute(const fleet::FleetActions& aActions);
  void StartRead(const fleet::StoreRead& aRead);
  /// Logs a read that this instance makes although it is not the designated
  /// reader.
  void LogTakeOver();
  /// Starts the probes of upstreams that are due.
  void ProbeUpstreams(state::TimePoint aNow);
  void StartProbe(const flows::Upstream& aUpstream);
  /// Requests the changes after a revision from another instance.
  void StartPull(const fleet::PullRequest& aPull);
  /// Applies changed records of the catalogue to the directory builder.
  void ApplyChangedKeys(const std::vector<std::string>& aKeys);
  /// Updates the directory builder by a decoded record.
  void ApplyRecord(const fleet::Record& aRecord,
                   const state::Result<RecordContent>& aContent);
  /// Counts and logs a record that is malformed or from another writer. If it
  /// is of an upstream, that is removed from the builder.
  void RejectRecord(const fleet::Record& aRecord, const std::string& aReason);
  /// Replaces the configuration, and logs and counts its defective routes.
  void ApplyConfiguration(const DecodedConfiguration& aDecoded,
                          const std::string& aRevision);
  /// Begins an evacuation and logs it. A value that could not be decoded is
  /// counted and logged with its key.
  void ApplyEvacuation(const DecodedEvacuation& aDecoded,
                       const std::string& aKey);
  /// Ends the evacuation of a data centre and logs it.
  void ApplyEvacuationEnd(const state::DataCentreId& aDataCentre);
  /// Logs and counts evacuated data centres that have no upstreams, each once
  /// until it has some.
  void CheckEvacuations();
  /// Returns the state of the evacuated data centres.
  std::vector<EvacuationReport> EvacuationReports() const;
  /// Sends a new directory to the traffic thread if records have changed; not
  /// before the store has confirmed a revision and a configuration is known.
  void PublishDirectory();
  /// Records whether the last call to the store succeeded, and logs changes. A
  /// response that the history is compacted counts as success.
  void UpdateStoreReachability(bool aReachable, const std::string& aReason);
  /// Sends the traffic thread the view of the fleet that the limits of cold
  /// upstreams depend on, if it is due and any service has a limit.
  void SendFleetView(state::TimePoint aNow);
  void OnFleetDatagram(std::span<std::uint8_t> aDatagram);
  void OnTrafficReport(TrafficReport aReport);
  /// Returns whether the platform should send packets to this instance.
  bool IsReady() const;
  net::HttpServerResponse ServeReadiness(std::string_view aTarget);
  /// Responds with the dump once the traffic thread has formatted its part.
  void ServeAdmin(std::string_view aTarget, net::HttpResponder aRespond);
  net::HttpServerResponse ServeMetrics() const;
  net::HttpServerResponse ServeFleet(std::string_view aTarget);
  /// Returns the encoded changes after a revision; with 0 a full copy, which is
  /// cached.
  std::string EncodeChangesAfter(state::Revision aAfter);
  /// Returns the part of the dump that the control thread knows.
  std::string FormatDump() const;

  EdgeSettings mSettings;
  PlatformFormats mFormats;
  Reload mReload;
  std::shared_ptr<Metrics> mMetrics = std::make_shared<Metrics>();
  std::shared_ptr<net::EventLog> mLog;
  fleet::FleetCore mCore;
  flows::DirectoryBuilder mDirectoryBuilder;
  /// Records changed since the last published directory.
  bool mDirectoryOutdated = false;
  bool mDirectoryPublished = false;
  /// Evacuated data centres without upstreams.
  std::set<state::DataCentreId> mEvacuatedWithoutUpstreams;
  bool mStoreReachable = true;
  /// Loads of other instances arrived that the traffic thread does not have.
  bool mPeerLoadsChanged = false;
  /// Next time at which speeds that other instances report may be sent to the
  /// traffic thread.
  state::TimePoint mNextSharedSpeeds;
  /// Members that count when this instance decides whether it may place flows
  /// on cold upstreams, and next time at which it does.
  fleet::MemberMemory mMemberMemory;
  state::TimePoint mNextFleetView;
  /// Whether the last view permitted it; for the dump.
  bool mMayPlaceOnCold = false;
  fleet::ProbeSchedule mProbeSchedule;
  /// Start of the planned stop, if it has begun.
  std::optional<state::TimePoint> mStopStarted;
  /// Next time at which the age of the known revision is observed.
  state::TimePoint mNextConfirmedAge;
  /// Last encoded full copy of the catalogue and its revision, which is first.
  std::pair<state::Revision, std::string> mEncodedCatalogue;
  /// Next time at which the settings are read without a signal.
  state::TimePoint mNextSettingsCheck;
  /// Error of the last reading of the settings, empty if there was none.
  std::string mSettingsError;
  /// Latest report of the traffic thread.
  TrafficReport mTrafficReport;
  boost::asio::io_context mContext{ 1 };
  boost::asio::steady_timer mTimer{ mContext };
  boost::asio::signal_set mSignals{ mContext };
  std::shared_ptr<net::UdpSocket> mFleetSocket;
  std::vector<std::shared_ptr<net::HttpServer>> mServers;
  TrafficLoop mTraffic;
};

} // namespace sassafrasknot::edge

#endif
