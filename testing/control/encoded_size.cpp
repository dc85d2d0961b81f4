#include "control/encoded_size.hpp"

#include <bit>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::testing {
namespace {

using namespace coordination;

/// Returns the size of a number in protobuf's variable-length encoding.
std::size_t
VarintSize(std::uint64_t aValue)
{
  return (static_cast<std::size_t>(std::bit_width(aValue | 1)) + 6) / 7;
}

/// Returns the size of a number field with its tag; protobuf omits fields of
/// value zero.
std::size_t
NumberFieldSize(std::uint64_t aValue)
{
  return aValue == 0 ? 0 : 1 + VarintSize(aValue);
}

/// Returns the size of a field of the given length, with its tag and length;
/// protobuf omits empty fields.
std::size_t
LengthDelimitedFieldSize(std::size_t aBytes)
{
  return aBytes == 0 ? 0 : 1 + VarintSize(aBytes) + aBytes;
}

std::size_t
TextFieldSize(std::string_view aText)
{
  return LengthDelimitedFieldSize(aText.size());
}

std::size_t
SizeOf(const state::Endpoint& aEndpoint)
{
  // Address and port in one fixed64 field: a tag byte and 8 bytes.
  return aEndpoint == state::Endpoint{} ? 0 : 9;
}

std::size_t
SizeOf(const MemberUpdate& aUpdate)
{
  return TextFieldSize(aUpdate.mId.mValue) +
         TextFieldSize(aUpdate.mDataCentre.mValue) +
         SizeOf(aUpdate.mPeerEndpoint) + SizeOf(aUpdate.mControlEndpoint) +
         NumberFieldSize(static_cast<std::uint64_t>(aUpdate.mHealth)) +
         NumberFieldSize(aUpdate.mLeaving ? 1 : 0) +
         NumberFieldSize(aUpdate.mIncarnation);
}

std::size_t
SizeOf(const DigestEntry& aEntry)
{
  // The hash is a fixed64 field of 9 bytes.
  return TextFieldSize(aEntry.mKey) + NumberFieldSize(aEntry.mRevision) + 9;
}

std::size_t
SizeOf(const state::ConfigurationRecord& aRecord)
{
  return TextFieldSize(aRecord.mKey) + NumberFieldSize(aRecord.mRevision) +
         NumberFieldSize(aRecord.mDeleted ? 1 : 0) +
         TextFieldSize(aRecord.mText);
}

std::size_t
SizeOf(const state::Claim& aClaim)
{
  return SizeOf(aClaim.mEndpoint) + NumberFieldSize(aClaim.mRevision);
}

std::size_t
SizeOf(const state::ConfigurationEntry& aEntry);

std::size_t
SizeOf(const QuarantinedEndpoint& aEndpoint)
{
  return SizeOf(aEndpoint.mEndpoint) + NumberFieldSize(aEndpoint.mRevision) +
         NumberFieldSize(static_cast<std::uint64_t>(aEndpoint.mAge.count()));
}

std::size_t
SizeOf(const RelayedSummary& aSummary)
{
  return TextFieldSize(aSummary.mDataCentre.mValue) +
         NumberFieldSize(aSummary.mLowestRevision) +
         NumberFieldSize(static_cast<std::uint64_t>(aSummary.mAge.count()));
}

/// Returns the size of a repeated field of messages, with their tags and
/// lengths.
template<typename T>
std::size_t
RepeatedFieldSize(const std::vector<T>& aItems)
{
  std::size_t size = 0;
  for (const auto& item : aItems) {
    size += LengthDelimitedFieldSize(SizeOf(item));
  }
  return size;
}

std::size_t
SizeOf(const state::ConfigurationEntry& aEntry)
{
  std::size_t size = LengthDelimitedFieldSize(SizeOf(aEntry.mLatest)) +
                     NumberFieldSize(aEntry.mDeletedAt) +
                     RepeatedFieldSize(aEntry.mClaims);
  if (aEntry.mInForce) {
    size += LengthDelimitedFieldSize(SizeOf(aEntry.mInForce->mOrganisation)) +
            LengthDelimitedFieldSize(SizeOf(aEntry.mInForce->mTemplate));
  }
  return size;
}

/// Returns the size of a message's body; one overload per kind.
struct BodySize
{
  std::size_t operator()(const Probe& aBody) const
  {
    return NumberFieldSize(aBody.mToken) + RepeatedFieldSize(aBody.mUpdates);
  }
  std::size_t operator()(const IndirectProbe& aBody) const
  {
    return NumberFieldSize(aBody.mToken) + TextFieldSize(aBody.mTarget.mValue) +
           SizeOf(aBody.mTargetEndpoint) + RepeatedFieldSize(aBody.mUpdates);
  }
  std::size_t operator()(const Acknowledgement& aBody) const
  {
    return NumberFieldSize(aBody.mToken) + TextFieldSize(aBody.mMember.mValue) +
           RepeatedFieldSize(aBody.mUpdates);
  }
  std::size_t operator()(const Digest& aBody) const
  {
    // The hash of the store is a fixed64 field of 9 bytes.
    return RepeatedFieldSize(aBody.mRecentChanges) + 9 +
           NumberFieldSize(aBody.mReply ? 1 : 0);
  }
  std::size_t operator()(const Pull& aBody) const
  {
    std::size_t size = NumberFieldSize(aBody.mToken) +
                       NumberFieldSize(aBody.mWantsMembers ? 1 : 0) +
                       LengthDelimitedFieldSize(aBody.mBucketHashes.size() * 8);
    for (const auto& key : aBody.mKeys) {
      size += TextFieldSize(key);
    }
    return size;
  }
  std::size_t operator()(const PullResponse& aBody) const
  {
    return NumberFieldSize(aBody.mToken) + RepeatedFieldSize(aBody.mEntries) +
           RepeatedFieldSize(aBody.mDifferingKeys) +
           RepeatedFieldSize(aBody.mQuarantined) +
           RepeatedFieldSize(aBody.mMembers);
  }
  std::size_t operator()(const DataCentreSummary& aBody) const
  {
    return TextFieldSize(aBody.mDataCentre.mValue) +
           NumberFieldSize(aBody.mLowestRevision) +
           RepeatedFieldSize(aBody.mMembers);
  }
};

} // namespace

std::size_t
EncodedSize(const ControlMessage& aMessage)
{
  return LengthDelimitedFieldSize(SizeOf(aMessage.mSender)) +
         NumberFieldSize(aMessage.mRevisionInForce) +
         RepeatedFieldSize(aMessage.mRelayedSummaries) +
         LengthDelimitedFieldSize(std::visit(BodySize{}, aMessage.mBody));
}

} // namespace sassafrasknot::testing
