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

/// @brief What an instance knows of itself from its settings.
struct ControlSettings
{
  state::InstanceId mId;
  state::DataCentreId mDataCentre;
  state::Endpoint mPeerEndpoint;
  state::Endpoint mControlEndpoint;
  /// Higher than that of any earlier process with the same id, for example the
  /// start time in milliseconds since 1970.
  std::uint64_t mIncarnation = 1;
  /// Peer endpoints of other instances, asked at the start until one answers;
  /// they need not be complete. This instance's own is skipped.
  std::vector<state::Endpoint> mSeeds;
};

/// @brief How a message travels.
enum class MessageTransport : std::uint8_t
{
  Udp,  ///< To the receiver's peer endpoint; may be lost.
  Grpc, ///< To the receiver's control endpoint (Pull and PullResponse).
};

/// @brief Send a message. The answer to a Pull is the one SendMessage with
/// PullResponse among the actions of its OnMessage, and may be returned as the
/// answer of the same call. Losses are found and repaired by the core.
struct SendMessage
{
  MessageTransport mTransport = MessageTransport::Udp;
  state::Endpoint mTo;
  ControlMessage mMessage;
};

/// @brief Start a read or a watch of the platform. The core asks for one call
/// at a time; each ends with OnPlatformRecords, OnPlatformFailure or
/// OnWatchReturned.
struct ReadPlatform
{
  /// When to start the call; may be in the past.
  state::TimePoint mNotBefore;
  /// A full read, or a blocking watch for changes above mAfterRevision.
  bool mFull = true;
  state::Revision mAfterRevision = 0;
  /// How long a watch may block.
  std::chrono::seconds mWatchTimeout{ 0 };
};

/// @brief Hand a snapshot to the traffic threads.
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

/// @brief Write a line to the log.
struct LogEvent
{
  LogLevel mLevel = LogLevel::Info;
  /// Such as "member dead".
  std::string mMessage;
  std::vector<std::pair<std::string, std::string>> mFields;
};

/// @brief What a control core decides.
using ControlAction =
  std::variant<SendMessage, ReadPlatform, PublishSnapshot, LogEvent>;

using ControlActions = std::vector<ControlAction>;

/// @brief Decides membership, dissemination, platform reads and snapshots of
/// one instance. Not safe for use from several threads.
class ControlCore
{
public:
  /// @brief Makes a core that knows nothing but its settings.
  /// @param aSettings what the instance knows of itself
  /// @param aSeed seed of its random decisions
  /// @param aNow the time
  ControlCore(ControlSettings aSettings,
              std::uint64_t aSeed,
              state::TimePoint aNow);
  ~ControlCore();
  ControlCore(ControlCore&&) noexcept;
  ControlCore& operator=(ControlCore&&) noexcept;

  /// @brief Does what is due; to be called about every 50 ms. A gap of more
  /// than the failure timeout (2.7 s) counts as a stall of this instance.
  /// @param aNow the time
  /// @return what to do
  ControlActions OnTick(state::TimePoint aNow);

  /// @brief Takes a message of another instance.
  /// @param aNow the time
  /// @param aMessage the message
  /// @return what to do
  ControlActions OnMessage(state::TimePoint aNow,
                           const ControlMessage& aMessage);

  /// @brief Takes records that the platform returned.
  /// @param aNow the time
  /// @param aRecords all keys (full) or the keys that changed above the
  /// revision asked for; a deleted key has ConfigurationRecord::mDeleted
  /// @param aRevision the platform's revision that they are complete up to
  /// @param aFull whether this is a full read
  /// @return what to do
  ControlActions OnPlatformRecords(
    state::TimePoint aNow,
    const std::vector<state::ConfigurationRecord>& aRecords,
    state::Revision aRevision,
    bool aFull);

  /// @brief Takes the failure of a read or watch.
  /// @param aNow the time
  /// @param aError what failed
  /// @return what to do
  ControlActions OnPlatformFailure(state::TimePoint aNow,
                                   const state::Error& aError);

  /// @brief Takes the end of a watch without any change.
  /// @param aNow the time
  /// @param aRevision the platform's revision at the end
  /// @return what to do
  ControlActions OnWatchReturned(state::TimePoint aNow,
                                 state::Revision aRevision);

  /// @brief Begins a planned stop: the instance becomes a leaving member.
  /// @param aNow the time
  /// @return what to do
  ControlActions OnStopRequested(state::TimePoint aNow);

  /// @brief Returns the last published snapshot; never null.
  std::shared_ptr<const state::Snapshot> CurrentSnapshot() const;

  /// @brief Returns the revision up to which all changes are in force.
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
