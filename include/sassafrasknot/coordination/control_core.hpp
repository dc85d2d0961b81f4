#ifndef SASSAFRASKNOT_COORDINATION_CONTROL_CORE_HPP
#define SASSAFRASKNOT_COORDINATION_CONTROL_CORE_HPP

#include "sassafrasknot/coordination/control_message.hpp"
#include "sassafrasknot/state/counters.hpp"
#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/snapshot.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Identity, endpoints and seeds of an instance, from its settings.
struct ControlSettings
{
  state::InstanceId mId;
  state::DataCentreId mDataCentre;
  state::Endpoint mPeerEndpoint;
  state::Endpoint mControlEndpoint;
  /// Higher than that of any earlier process with the same id, for example the
  /// start time in milliseconds since 1970.
  std::uint64_t mIncarnation = 1;
  /// Peer endpoints of some other instances, to join the fleet. Up to three
  /// random ones are probed every 500 ms until a message of another instance
  /// arrives, and every 10 s after that. This instance's own is skipped.
  std::vector<state::Endpoint> mSeeds;
};

/// @brief Transport of a message.
enum class MessageTransport : std::uint8_t
{
  Udp,  ///< To the receiver's peer endpoint; may be lost.
  Grpc, ///< To the receiver's control endpoint (Pull and PullResponse).
};

/// @brief Action: send a message. The response to a Pull is the one SendMessage
/// with a PullResponse among the actions of its OnMessage, and may be returned
/// as the response of the same gRPC call. Messages may be lost: the core
/// retries probes and requests missing records again.
struct SendMessage
{
  MessageTransport mTransport = MessageTransport::Udp;
  state::Endpoint mTo;
  ControlMessage mMessage;
};

/// @brief Action: start a read or a watch of the platform. The core starts one
/// call at a time; each ends with OnPlatformRecords, OnPlatformFailure or
/// OnWatchReturned. A call that did not end within 40 s counts as failed.
struct ReadPlatform
{
  /// When to start the call; may be in the past.
  state::TimePoint mNotBefore;
  /// Whether this is a full read; otherwise it is a watch, which blocks until
  /// there are changes above mAfterRevision.
  bool mFull = true;
  state::Revision mAfterRevision = 0;
  /// How long a watch may block.
  std::chrono::seconds mWatchTimeout{ 0 };
};

/// @brief Action: pass a snapshot to the traffic threads.
struct PublishSnapshot
{
  std::shared_ptr<const state::Snapshot> mSnapshot;
};

/// @brief Severity of a log event.
enum class LogLevel : std::uint8_t
{
  Info,
  Warning,
  Error,
};

/// @brief Action: write a line to the log.
struct LogEvent
{
  LogLevel mLevel = LogLevel::Info;
  /// For example "member is dead".
  std::string mMessage;
  std::vector<std::pair<std::string, std::string>> mFields;
};

/// @brief An action that the caller of a control core carries out.
using ControlAction =
  std::variant<SendMessage, ReadPlatform, PublishSnapshot, LogEvent>;

using ControlActions = std::vector<ControlAction>;

/// @brief Control logic of one instance: membership of the fleet (by probes
/// within the data centre and summaries between data centres), dissemination of
/// configuration records (by digests and pulls), reads of the platform and
/// publication of snapshots. It does no input or output: the caller passes
/// events and carries out the returned actions. Not safe for use from several
/// threads.
class ControlCore
{
public:
  /// @brief Makes a core without members and configuration records.
  /// @param aSettings identity, endpoints and seeds of the instance
  /// @param aSeed seed of its random decisions
  /// @param aNow current time on the steady clock
  ControlCore(ControlSettings aSettings,
              std::uint64_t aSeed,
              state::TimePoint aNow);
  ~ControlCore();
  ControlCore(ControlCore&&) noexcept;
  ControlCore& operator=(ControlCore&&) noexcept;

  /// @brief Runs everything that is due by time: probes, digests, summaries,
  /// reads and snapshots. To be called about every 50 ms. More than the failure
  /// timeout (2.7 s) between two events counts as a stall of this instance.
  /// @param aNow current time on the steady clock
  /// @return actions to carry out
  ControlActions OnTick(state::TimePoint aNow);

  /// @brief Handles a message of another instance.
  /// @param aNow current time on the steady clock
  /// @param aMessage decoded message; one with this instance's id as sender is
  /// ignored
  /// @return actions to carry out
  ControlActions OnMessage(state::TimePoint aNow,
                           const ControlMessage& aMessage);

  /// @brief Handles records that the platform returned.
  /// @param aNow current time on the steady clock
  /// @param aRecords records of all keys (full) or of the keys that changed
  /// above ReadPlatform::mAfterRevision; a deleted key has
  /// ConfigurationRecord::mDeleted
  /// @param aRevision the platform's revision up to which they are complete
  /// @param aFull whether this is a full read
  /// @return actions to carry out
  ControlActions OnPlatformRecords(
    state::TimePoint aNow,
    const std::vector<state::ConfigurationRecord>& aRecords,
    state::Revision aRevision,
    bool aFull);

  /// @brief Handles the failure of a read or watch.
  /// @param aNow current time on the steady clock
  /// @param aError reason of the failure
  /// @return actions to carry out
  ControlActions OnPlatformFailure(state::TimePoint aNow,
                                   const state::Error& aError);

  /// @brief Handles the end of a watch without any change.
  /// @param aNow current time on the steady clock
  /// @param aRevision the platform's revision at the end
  /// @return actions to carry out
  ControlActions OnWatchReturned(state::TimePoint aNow,
                                 state::Revision aRevision);

  /// @brief Begins a planned stop: the instance becomes a leaving member.
  /// @param aNow current time on the steady clock
  /// @return actions to carry out
  ControlActions OnStopRequested(state::TimePoint aNow);

  /// @brief Returns the last published snapshot; never null.
  std::shared_ptr<const state::Snapshot> CurrentSnapshot() const;

  /// @brief Returns the revision in force on this instance: its store contains
  /// all changes up to this revision (ConfigurationStore::mCompleteRevision).
  /// The store may contain some of the later changes as well.
  state::Revision RevisionInForce() const;

  /// @brief Returns the counters of this core.
  const state::Counters& Counters() const;

  /// @brief Returns the state of this core for a dump, as a JSON object.
  std::string Dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::coordination

#endif
