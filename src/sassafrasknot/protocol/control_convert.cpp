#include "sassafrasknot/protocol/document_codec.hpp"

#include <memory>
#include <utility>

#include "name.hpp"
#include "peer_convert.hpp"
#include "repeated.hpp"

namespace sassafrasknot::protocol {
namespace {

using coordination::Acknowledgement;
using coordination::ControlMessage;
using coordination::DataCentreSummary;
using coordination::Digest;
using coordination::DigestEntry;
using coordination::IndirectProbe;
using coordination::MemberHealth;
using coordination::MemberUpdate;
using coordination::Probe;
using coordination::Pull;
using coordination::PullResponse;
using coordination::QuarantinedEndpoint;
using coordination::RelayedSummary;

/// Maximum length of a key of the configuration service that is accepted from
/// peers, in bytes.
constexpr std::size_t kMaxKeyBytes = 256;
/// Maximum age that is accepted, one day in milliseconds. The bound keeps sums
/// of times and ages in range.
constexpr std::uint64_t kMaxAgeMs = 86400000;

void
MemberToWire(const MemberUpdate& aMember, peer::MemberUpdate& aWire)
{
  aWire.set_id(aMember.mId.mValue);
  aWire.set_data_centre(aMember.mDataCentre.mValue);
  aWire.set_peer_endpoint(ToWire(aMember.mPeerEndpoint));
  aWire.set_control_endpoint(ToWire(aMember.mControlEndpoint));
  aWire.set_health(static_cast<std::uint32_t>(aMember.mHealth));
  aWire.set_leaving(aMember.mLeaving);
  aWire.set_incarnation(aMember.mIncarnation);
}

bool
MemberFromWire(const peer::MemberUpdate& aWire, MemberUpdate& aMember)
{
  aMember.mId.mValue = aWire.id();
  aMember.mDataCentre.mValue = aWire.data_centre();
  aMember.mHealth = static_cast<MemberHealth>(aWire.health());
  aMember.mLeaving = aWire.leaving();
  aMember.mIncarnation = aWire.incarnation();
  return IsName(aWire.id()) && IsName(aWire.data_centre()) &&
         aWire.health() <= static_cast<std::uint32_t>(MemberHealth::Dead) &&
         FromWire(aWire.peer_endpoint(), aMember.mPeerEndpoint) &&
         FromWire(aWire.control_endpoint(), aMember.mControlEndpoint);
}

void
DigestEntryToWire(const DigestEntry& aEntry, peer::DigestEntry& aWire)
{
  aWire.set_key(aEntry.mKey);
  aWire.set_revision(aEntry.mRevision);
  aWire.set_hash(aEntry.mHash);
}

bool
DigestEntryFromWire(const peer::DigestEntry& aWire, DigestEntry& aEntry)
{
  aEntry = { aWire.key(), aWire.revision(), aWire.hash() };
  return aEntry.mKey.size() <= kMaxKeyBytes;
}

void
RecordToWire(const state::ConfigurationRecord& aRecord,
             peer::ConfigurationRecord& aWire)
{
  aWire.set_key(aRecord.mKey);
  aWire.set_revision(aRecord.mRevision);
  aWire.set_deleted(aRecord.mDeleted);
  aWire.set_text(aRecord.mText);
}

/// Also decodes the value. A record with a malformed value keeps its text and
/// has no document.
bool
RecordFromWire(const peer::ConfigurationRecord& aWire,
               state::ConfigurationRecord& aRecord)
{
  aRecord.mKey = aWire.key();
  aRecord.mRevision = aWire.revision();
  aRecord.mDeleted = aWire.deleted();
  aRecord.mText = aWire.text();
  if (aRecord.mKey.size() > kMaxKeyBytes) {
    return false;
  }
  if (!aRecord.mDeleted) {
    if (auto document = DecodeDocument(aRecord.mKey, aRecord.mText)) {
      aRecord.mDocument =
        std::make_shared<const state::Document>(std::move(document).value());
    }
  }
  return true;
}

void
EntryToWire(const state::ConfigurationEntry& aEntry,
            peer::ConfigurationEntry& aWire)
{
  RecordToWire(aEntry.mLatest, *aWire.mutable_latest());
  aWire.set_deleted_at(aEntry.mDeletedAt);
  if (aEntry.mInForce) {
    auto& wire = *aWire.mutable_in_force();
    RecordToWire(aEntry.mInForce->mOrganisation, *wire.mutable_organisation());
    RecordToWire(aEntry.mInForce->mTemplate, *wire.mutable_template_());
  }
  for (const auto& claim : aEntry.mClaims) {
    auto& wire = *aWire.add_claims();
    wire.set_endpoint(ToWire(claim.mEndpoint));
    wire.set_revision(claim.mRevision);
  }
}

bool
EntryFromWire(const peer::ConfigurationEntry& aWire,
              state::ConfigurationEntry& aEntry)
{
  aEntry.mDeletedAt = aWire.deleted_at();
  if (!RecordFromWire(aWire.latest(), aEntry.mLatest)) {
    return false;
  }
  if (aWire.has_in_force()) {
    auto& pair = aEntry.mInForce.emplace();
    if (!RecordFromWire(aWire.in_force().organisation(), pair.mOrganisation) ||
        !RecordFromWire(aWire.in_force().template_(), pair.mTemplate)) {
      return false;
    }
  }
  return ListFromWire(aWire.claims(),
                      aEntry.mClaims,
                      [](const peer::Claim& aClaimWire, state::Claim& aClaim) {
                        aClaim.mRevision = aClaimWire.revision();
                        return FromWire(aClaimWire.endpoint(),
                                        aClaim.mEndpoint);
                      });
}

void
QuarantinedToWire(const QuarantinedEndpoint& aEndpoint,
                  peer::QuarantinedEndpoint& aWire)
{
  aWire.set_endpoint(ToWire(aEndpoint.mEndpoint));
  aWire.set_revision(aEndpoint.mRevision);
  aWire.set_age_ms(static_cast<std::uint64_t>(aEndpoint.mAge.count()));
}

bool
QuarantinedFromWire(const peer::QuarantinedEndpoint& aWire,
                    QuarantinedEndpoint& aEndpoint)
{
  aEndpoint.mRevision = aWire.revision();
  aEndpoint.mAge = std::chrono::milliseconds(aWire.age_ms());
  return aWire.age_ms() <= kMaxAgeMs &&
         FromWire(aWire.endpoint(), aEndpoint.mEndpoint);
}

void
RelayedSummaryToWire(const RelayedSummary& aSummary,
                     peer::DataCentreHeartbeat& aWire)
{
  aWire.set_data_centre(aSummary.mDataCentre.mValue);
  aWire.set_lowest_revision(aSummary.mLowestRevision);
  aWire.set_age_ms(static_cast<std::uint64_t>(aSummary.mAge.count()));
}

bool
RelayedSummaryFromWire(const peer::DataCentreHeartbeat& aWire,
                       RelayedSummary& aSummary)
{
  aSummary.mDataCentre.mValue = aWire.data_centre();
  aSummary.mLowestRevision = aWire.lowest_revision();
  aSummary.mAge = std::chrono::milliseconds(aWire.age_ms());
  return IsName(aWire.data_centre()) && aWire.age_ms() <= kMaxAgeMs;
}

/// Converts a body into the field of the oneof for its kind.
/// Pull::mWantsMembers and PullResponse::mMembers are not encoded.
struct BodyWriter
{
  peer::ControlMessage& mWire;

  void operator()(const Probe& aBody) const
  {
    auto& wire = *mWire.mutable_probe();
    wire.set_token(aBody.mToken);
    ListToWire(aBody.mUpdates, *wire.mutable_updates(), MemberToWire);
  }
  void operator()(const IndirectProbe& aBody) const
  {
    auto& wire = *mWire.mutable_indirect_probe();
    wire.set_token(aBody.mToken);
    wire.set_target(aBody.mTarget.mValue);
    wire.set_target_endpoint(ToWire(aBody.mTargetEndpoint));
    ListToWire(aBody.mUpdates, *wire.mutable_updates(), MemberToWire);
  }
  void operator()(const Acknowledgement& aBody) const
  {
    auto& wire = *mWire.mutable_acknowledgement();
    wire.set_token(aBody.mToken);
    wire.set_member(aBody.mMember.mValue);
    ListToWire(aBody.mUpdates, *wire.mutable_updates(), MemberToWire);
  }
  void operator()(const Digest& aBody) const
  {
    auto& wire = *mWire.mutable_digest();
    wire.set_map_hash(aBody.mStoreHash);
    wire.set_answer(aBody.mReply);
    ListToWire(aBody.mRecentChanges, *wire.mutable_recent(), DigestEntryToWire);
  }
  void operator()(const Pull& aBody) const
  {
    auto& wire = *mWire.mutable_pull();
    wire.set_token(aBody.mToken);
    wire.mutable_keys()->Assign(aBody.mKeys.begin(), aBody.mKeys.end());
    wire.mutable_bucket_hashes()->Assign(aBody.mBucketHashes.begin(),
                                         aBody.mBucketHashes.end());
  }
  void operator()(const PullResponse& aBody) const
  {
    auto& wire = *mWire.mutable_records();
    wire.set_token(aBody.mToken);
    ListToWire(aBody.mEntries, *wire.mutable_entries(), EntryToWire);
    ListToWire(aBody.mDifferingKeys, *wire.mutable_index(), DigestEntryToWire);
    ListToWire(
      aBody.mQuarantined, *wire.mutable_quarantined(), QuarantinedToWire);
  }
  void operator()(const DataCentreSummary& aBody) const
  {
    auto& wire = *mWire.mutable_data_centre_summary();
    wire.set_data_centre(aBody.mDataCentre.mValue);
    wire.set_lowest_revision(aBody.mLowestRevision);
    ListToWire(aBody.mMembers, *wire.mutable_members(), MemberToWire);
  }
};

bool
BodyFromWire(const peer::Probe& aWire, Probe& aBody)
{
  aBody.mToken = aWire.token();
  return ListFromWire(aWire.updates(), aBody.mUpdates, MemberFromWire);
}

bool
BodyFromWire(const peer::IndirectProbe& aWire, IndirectProbe& aBody)
{
  aBody.mToken = aWire.token();
  aBody.mTarget.mValue = aWire.target();
  return IsName(aWire.target()) &&
         FromWire(aWire.target_endpoint(), aBody.mTargetEndpoint) &&
         ListFromWire(aWire.updates(), aBody.mUpdates, MemberFromWire);
}

bool
BodyFromWire(const peer::Acknowledgement& aWire, Acknowledgement& aBody)
{
  aBody.mToken = aWire.token();
  aBody.mMember.mValue = aWire.member();
  return IsName(aWire.member()) &&
         ListFromWire(aWire.updates(), aBody.mUpdates, MemberFromWire);
}

bool
BodyFromWire(const peer::Digest& aWire, Digest& aBody)
{
  aBody.mStoreHash = aWire.map_hash();
  aBody.mReply = aWire.answer();
  return ListFromWire(
    aWire.recent(), aBody.mRecentChanges, DigestEntryFromWire);
}

bool
BodyFromWire(const peer::Pull& aWire, Pull& aBody)
{
  aBody.mToken = aWire.token();
  aBody.mKeys.assign(aWire.keys().begin(), aWire.keys().end());
  aBody.mBucketHashes.assign(aWire.bucket_hashes().begin(),
                             aWire.bucket_hashes().end());
  return true;
}

bool
BodyFromWire(const peer::Records& aWire, PullResponse& aBody)
{
  aBody.mToken = aWire.token();
  return ListFromWire(aWire.entries(), aBody.mEntries, EntryFromWire) &&
         ListFromWire(
           aWire.index(), aBody.mDifferingKeys, DigestEntryFromWire) &&
         ListFromWire(
           aWire.quarantined(), aBody.mQuarantined, QuarantinedFromWire);
}

bool
BodyFromWire(const peer::DataCentreSummary& aWire, DataCentreSummary& aBody)
{
  aBody.mDataCentre.mValue = aWire.data_centre();
  aBody.mLowestRevision = aWire.lowest_revision();
  return IsName(aWire.data_centre()) &&
         ListFromWire(aWire.members(), aBody.mMembers, MemberFromWire);
}

bool
BodyFromWire(const peer::ControlMessage& aWire,
             coordination::ControlBody& aBody)
{
  switch (aWire.body_case()) {
    case peer::ControlMessage::kProbe:
      return BodyFromWire(aWire.probe(), aBody.emplace<Probe>());
    case peer::ControlMessage::kIndirectProbe:
      return BodyFromWire(aWire.indirect_probe(),
                          aBody.emplace<IndirectProbe>());
    case peer::ControlMessage::kAcknowledgement:
      return BodyFromWire(aWire.acknowledgement(),
                          aBody.emplace<Acknowledgement>());
    case peer::ControlMessage::kDigest:
      return BodyFromWire(aWire.digest(), aBody.emplace<Digest>());
    case peer::ControlMessage::kPull:
      return BodyFromWire(aWire.pull(), aBody.emplace<Pull>());
    case peer::ControlMessage::kRecords:
      return BodyFromWire(aWire.records(), aBody.emplace<PullResponse>());
    case peer::ControlMessage::kDataCentreSummary:
      return BodyFromWire(aWire.data_centre_summary(),
                          aBody.emplace<DataCentreSummary>());
    case peer::ControlMessage::BODY_NOT_SET:
      return false;
  }
  return false;
}

} // namespace

void
ToWire(const ControlMessage& aMessage, peer::ControlMessage& aWire)
{
  MemberToWire(aMessage.mSender, *aWire.mutable_sender());
  aWire.set_revision(aMessage.mRevisionInForce);
  ListToWire(aMessage.mRelayedSummaries,
             *aWire.mutable_heartbeats(),
             RelayedSummaryToWire);
  std::visit(BodyWriter{ aWire }, aMessage.mBody);
}

bool
FromWire(const peer::ControlMessage& aWire, ControlMessage& aMessage)
{
  aMessage.mRevisionInForce = aWire.revision();
  return MemberFromWire(aWire.sender(), aMessage.mSender) &&
         ListFromWire(aWire.heartbeats(),
                      aMessage.mRelayedSummaries,
                      RelayedSummaryFromWire) &&
         BodyFromWire(aWire, aMessage.mBody);
}

} // namespace sassafrasknot::protocol
