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

/// @brief What probes say of a member.
enum class MemberHealth : std::uint8_t
{
  Alive,
  Suspected, ///< Missed a probe; dead unless it refutes this in time.
  Dead,
};

/// @brief One member as an instance sees it. For equal incarnations the worse
/// health and mLeaving win; a higher incarnation wins over both.
struct MemberUpdate
{
  state::InstanceId mId;
  state::DataCentreId mDataCentre;
  /// UDP endpoint for packets and peer messages.
  state::Endpoint mPeerEndpoint;
  /// TCP endpoint of the gRPC services.
  state::Endpoint mControlEndpoint;
  MemberHealth mHealth = MemberHealth::Alive;
  /// A planned stop has begun.
  bool mLeaving = false;
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const MemberUpdate&) const = default;
};

/// @brief Asks a member for an acknowledgement.
struct Probe
{
  std::uint32_t mToken = 0;
  /// At most 6.
  std::vector<MemberUpdate> mUpdates;

  auto operator<=>(const Probe&) const = default;
};

/// @brief Asks a member to probe another one and to pass its acknowledgement
/// on.
struct IndirectProbe
{
  std::uint32_t mToken = 0;
  state::InstanceId mTarget;
  state::Endpoint mTargetEndpoint;
  std::vector<MemberUpdate> mUpdates;

  auto operator<=>(const IndirectProbe&) const = default;
};

/// @brief Answers a probe.
struct Acknowledgement
{
  std::uint32_t mToken = 0;
  /// The member that is alive; not the sender if this was passed on.
  state::InstanceId mMember;
  std::vector<MemberUpdate> mUpdates;

  auto operator<=>(const Acknowledgement&) const = default;
};

/// @brief A key and what is known of it.
struct DigestEntry
{
  std::string mKey;
  /// Revision of the key's latest record.
  state::Revision mRevision = 0;
  /// Hash of the latest revision, the revision in force and the claims.
  std::uint64_t mHash = 0;

  auto operator<=>(const DigestEntry&) const = default;
};

/// @brief Says which configuration an instance has.
struct Digest
{
  /// Keys that changed recently, newest first.
  std::vector<DigestEntry> mRecentChanges;
  /// Hash of all keys and what is known of them.
  std::uint64_t mStoreHash = 0;
  /// Whether this answers a digest; an answer is not answered.
  bool mReply = false;

  auto operator<=>(const Digest&) const = default;
};

/// @brief Asks for records. Sent over gRPC; the answer is one PullResponse with
/// the same token.
struct Pull
{
  std::uint32_t mToken = 0;
  /// Keys whose records are wanted.
  std::vector<std::string> mKeys;
  /// Hashes of the asker's keys by bucket; if given, the answer lists the keys
  /// of the buckets that differ.
  std::vector<std::uint64_t> mBucketHashes;
  /// Whether the members are wanted as well, at the start of a process.
  bool mWantsMembers = false;

  auto operator<=>(const Pull&) const = default;
};

/// @brief An endpoint that moved between organisations not long ago.
struct QuarantinedEndpoint
{
  state::Endpoint mEndpoint;
  /// Revision of the move.
  state::Revision mRevision = 0;
  /// Time since the move came into force on the sender.
  std::chrono::milliseconds mAge{};

  auto operator<=>(const QuarantinedEndpoint&) const = default;
};

/// @brief Answers a pull. Sent over gRPC.
struct PullResponse
{
  std::uint32_t mToken = 0;
  std::vector<state::ConfigurationEntry> mEntries;
  /// Keys of the buckets that differ.
  std::vector<DigestEntry> mDifferingKeys;
  std::vector<QuarantinedEndpoint> mQuarantined;
  /// All members that the sender knows, if Pull::mWantsMembers was set.
  std::vector<MemberUpdate> mMembers;
};

/// @brief What a data centre's contact tells other data centres once a second.
struct DataCentreSummary
{
  state::DataCentreId mDataCentre;
  /// Lowest revision in force among the data centre's instances that are
  /// listed or alive.
  state::Revision mLowestRevision = 0;
  /// A slice of the members; the slices of successive summaries cover all.
  std::vector<MemberUpdate> mMembers;

  auto operator<=>(const DataCentreSummary&) const = default;
};

/// @brief What is known of another data centre, passed on within a data centre.
struct RelayedSummary
{
  state::DataCentreId mDataCentre;
  /// From the data centre's last summary.
  state::Revision mLowestRevision = 0;
  /// Time since the summary was received.
  std::chrono::milliseconds mAge{};

  auto operator<=>(const RelayedSummary&) const = default;
};

/// @brief What a message is about.
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
  /// The sender as it sees itself; never suspected or dead.
  MemberUpdate mSender;
  /// All changes up to this revision are in force on the sender.
  state::Revision mRevisionInForce = 0;
  /// With probes and acknowledgements, at most 4.
  std::vector<RelayedSummary> mRelayedSummaries;
  ControlBody mBody;
};

} // namespace sassafrasknot::coordination

#endif
