#ifndef SASSAFRASKNOT_COORDINATION_CONTROL_MESSAGE_HPP
#define SASSAFRASKNOT_COORDINATION_CONTROL_MESSAGE_HPP

#include "sassafrasknot/state/configuration_entry.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Health of a member according to the probes; later values are worse.
enum class MemberHealth : std::uint8_t
{
  Alive,
  Suspected, ///< Did not acknowledge a probe; dead unless it refutes this.
  Dead,
};

/// @brief State of one member as recorded by an instance. When two updates of a
/// member are merged, the one with the higher incarnation wins; for equal
/// incarnations the worse health and mLeaving = true win. Only the member
/// itself raises its incarnation.
struct MemberUpdate
{
  state::InstanceId mId;
  state::DataCentreId mDataCentre;
  /// UDP endpoint for packets and peer messages.
  state::Endpoint mPeerEndpoint;
  /// TCP endpoint of the gRPC services.
  state::Endpoint mControlEndpoint;
  MemberHealth mHealth = MemberHealth::Alive;
  /// Whether a planned stop has begun.
  bool mLeaving = false;
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const MemberUpdate&) const = default;
};

/// @brief Requests an acknowledgement from a member.
struct Probe
{
  /// Number of the request, chosen by the sender. The acknowledgement repeats
  /// it.
  std::uint32_t mToken = 0;
  /// Updates of other members that the sender propagates; at most 6.
  std::vector<MemberUpdate> mUpdates;

  auto operator<=>(const Probe&) const = default;
};

/// @brief Requests that a member probe another one and relay the
/// acknowledgement to the sender.
struct IndirectProbe
{
  /// Token of the sender, which the relayed acknowledgement repeats.
  std::uint32_t mToken = 0;
  /// Member to probe.
  state::InstanceId mTarget;
  state::Endpoint mTargetEndpoint;
  std::vector<MemberUpdate> mUpdates;

  auto operator<=>(const IndirectProbe&) const = default;
};

/// @brief Response to a probe or an indirect probe.
struct Acknowledgement
{
  /// Token of the probe or indirect probe.
  std::uint32_t mToken = 0;
  /// The member that was probed; differs from the sender if the
  /// acknowledgement was relayed.
  state::InstanceId mMember;
  std::vector<MemberUpdate> mUpdates;

  auto operator<=>(const Acknowledgement&) const = default;
};

/// @brief A key of the configuration and a summary of its state.
struct DigestEntry
{
  std::string mKey;
  /// Revision of the key's latest record.
  state::Revision mRevision = 0;
  /// Hash of the key's state: the revisions of its latest record and of its
  /// last deletion and, for an organisation, the revisions of its records in
  /// force and the endpoints that it claims.
  std::uint64_t mHash = 0;

  auto operator<=>(const DigestEntry&) const = default;
};

/// @brief Summary of an instance's configuration records, from which other
/// instances detect that they lack some.
struct Digest
{
  /// Keys that changed recently, newest first.
  std::vector<DigestEntry> mRecentChanges;
  /// Hash of all entries; equal for instances with the same records.
  std::uint64_t mStoreHash = 0;
  /// Whether this is the reply to a digest; a reply gets no reply.
  bool mReply = false;

  auto operator<=>(const Digest&) const = default;
};

/// @brief Requests records. Sent over gRPC; the response is one PullResponse
/// with the same token.
struct Pull
{
  std::uint32_t mToken = 0;
  /// Keys whose records are requested.
  std::vector<std::string> mKeys;
  /// Hash of the state of the sender's keys in each bucket (state::BucketOf
  /// assigns keys to buckets). If given, the response lists the keys of the
  /// buckets that differ.
  std::vector<std::uint64_t> mBucketHashes;
  /// Whether members are requested as well, at the start of a process.
  bool mWantsMembers = false;

  auto operator<=>(const Pull&) const = default;
};

/// @brief An endpoint that moved from one service to another and may not be
/// used yet, because instances may still serve it for the former holder.
struct QuarantinedEndpoint
{
  state::Endpoint mEndpoint;
  /// Revision of the move.
  state::Revision mRevision = 0;
  /// Time since the move came into force on the sender.
  std::chrono::milliseconds mAge{};

  auto operator<=>(const QuarantinedEndpoint&) const = default;
};

/// @brief Response to a pull. Sent over gRPC.
struct PullResponse
{
  std::uint32_t mToken = 0;
  /// Entries of the requested keys.
  std::vector<state::ConfigurationEntry> mEntries;
  /// Keys of the buckets that differ.
  std::vector<DigestEntry> mDifferingKeys;
  /// Endpoints that are quarantined on the sender.
  std::vector<QuarantinedEndpoint> mQuarantined;
  /// All members on record at the sender, without the sender itself, if
  /// Pull::mWantsMembers was set.
  std::vector<MemberUpdate> mMembers;
};

/// @brief State of a data centre that its representative sends to another data
/// centre once a second. For each other data centre, rendezvous hashing assigns
/// the task of representative to one instance.
struct DataCentreSummary
{
  state::DataCentreId mDataCentre;
  /// Lowest revision in force among the data centre's instances that the
  /// platform lists or that are not dead.
  state::Revision mLowestRevision = 0;
  /// At most 3 members of the data centre: those with recent changes first,
  /// then random ones, so that successive summaries reach all in time.
  std::vector<MemberUpdate> mMembers;

  auto operator<=>(const DataCentreSummary&) const = default;
};

/// @brief Last summary of another data centre, relayed within a data centre
/// without its members.
struct RelayedSummary
{
  state::DataCentreId mDataCentre;
  /// From the data centre's last summary.
  state::Revision mLowestRevision = 0;
  /// Time since the summary was received, by the sender or by the instance that
  /// it got it from.
  std::chrono::milliseconds mAge{};

  auto operator<=>(const RelayedSummary&) const = default;
};

/// @brief Content of a message between control cores.
using ControlBody = std::variant<Probe,
                                 IndirectProbe,
                                 Acknowledgement,
                                 Digest,
                                 Pull,
                                 PullResponse,
                                 DataCentreSummary>;

/// @brief A message between the control cores of two instances.
struct ControlMessage
{
  /// The sender as it describes itself; always alive, possibly leaving.
  MemberUpdate mSender;
  /// Revision in force on the sender: its store contains all changes of the
  /// configuration up to this revision.
  state::Revision mRevisionInForce = 0;
  /// At most 4; only with probes and acknowledgements.
  std::vector<RelayedSummary> mRelayedSummaries;
  ControlBody mBody;
};

} // namespace sassafrasknot::coordination

#endif
