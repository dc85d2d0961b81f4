#include "control/encoded_size.hpp"

#include <bit>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::testing {
namespace {

using namespace coordination;

std::size_t
VarintSize(std::uint64_t aValue)
{
  return (static_cast<std::size_t>(std::bit_width(aValue | 1)) + 6) / 7;
}

/// A field with its tag; protobuf leaves out fields of value zero.
std::size_t
Number(std::uint64_t aValue)
{
  return aValue == 0 ? 0 : 1 + VarintSize(aValue);
}

std::size_t
Length(std::size_t aBytes)
{
  return aBytes == 0 ? 0 : 1 + VarintSize(aBytes) + aBytes;
}

std::size_t
Text(std::string_view aText)
{
  return Length(aText.size());
}

std::size_t
SizeOf(const state::Endpoint& aEndpoint)
{
  // Address and port in one fixed64 field.
  return aEndpoint == state::Endpoint{} ? 0 : 9;
}

std::size_t
SizeOf(const MemberUpdate& aUpdate)
{
  return Text(aUpdate.mId.mValue) + Text(aUpdate.mDataCentre.mValue) +
         SizeOf(aUpdate.mPeerEndpoint) + SizeOf(aUpdate.mControlEndpoint) +
         Number(static_cast<std::uint64_t>(aUpdate.mHealth)) +
         Number(aUpdate.mLeaving ? 1 : 0) + Number(aUpdate.mIncarnation);
}

std::size_t
SizeOf(const DigestEntry& aEntry)
{
  return Text(aEntry.mKey) + Number(aEntry.mRevision) + 9;
}

std::size_t
SizeOf(const state::ConfigurationRecord& aRecord)
{
  return Text(aRecord.mKey) + Number(aRecord.mRevision) +
         Number(aRecord.mDeleted ? 1 : 0) + Text(aRecord.mText);
}

std::size_t
SizeOf(const state::Claim& aClaim)
{
  return SizeOf(aClaim.mEndpoint) + Number(aClaim.mRevision);
}

std::size_t
SizeOf(const state::ConfigurationEntry& aEntry);

std::size_t
SizeOf(const QuarantinedEndpoint& aEndpoint)
{
  return SizeOf(aEndpoint.mEndpoint) + Number(aEndpoint.mRevision) +
         Number(static_cast<std::uint64_t>(aEndpoint.mAge.count()));
}

std::size_t
SizeOf(const RelayedSummary& aHeartbeat)
{
  return Text(aHeartbeat.mDataCentre.mValue) +
         Number(aHeartbeat.mLowestRevision) +
         Number(static_cast<std::uint64_t>(aHeartbeat.mAge.count()));
}

template<typename T>
std::size_t
Repeated(const std::vector<T>& aItems)
{
  std::size_t size = 0;
  for (const auto& item : aItems) {
    size += Length(SizeOf(item));
  }
  return size;
}

std::size_t
SizeOf(const state::ConfigurationEntry& aEntry)
{
  std::size_t size = Length(SizeOf(aEntry.mLatest)) +
                     Number(aEntry.mDeletedAt) + Repeated(aEntry.mClaims);
  if (aEntry.mInForce) {
    size += Length(SizeOf(aEntry.mInForce->mOrganisation)) +
            Length(SizeOf(aEntry.mInForce->mTemplate));
  }
  return size;
}

struct BodySize
{
  std::size_t operator()(const Probe& aBody) const
  {
    return Number(aBody.mToken) + Repeated(aBody.mUpdates);
  }
  std::size_t operator()(const IndirectProbe& aBody) const
  {
    return Number(aBody.mToken) + Text(aBody.mTarget.mValue) +
           SizeOf(aBody.mTargetEndpoint) + Repeated(aBody.mUpdates);
  }
  std::size_t operator()(const Acknowledgement& aBody) const
  {
    return Number(aBody.mToken) + Text(aBody.mMember.mValue) +
           Repeated(aBody.mUpdates);
  }
  std::size_t operator()(const Digest& aBody) const
  {
    return Repeated(aBody.mRecentChanges) + 9 + Number(aBody.mReply ? 1 : 0);
  }
  std::size_t operator()(const Pull& aBody) const
  {
    std::size_t size = Number(aBody.mToken) +
                       Number(aBody.mWantsMembers ? 1 : 0) +
                       Length(aBody.mBucketHashes.size() * 8);
    for (const auto& key : aBody.mKeys) {
      size += Text(key);
    }
    return size;
  }
  std::size_t operator()(const PullResponse& aBody) const
  {
    return Number(aBody.mToken) + Repeated(aBody.mEntries) +
           Repeated(aBody.mDifferingKeys) + Repeated(aBody.mQuarantined) +
           Repeated(aBody.mMembers);
  }
  std::size_t operator()(const DataCentreSummary& aBody) const
  {
    return Text(aBody.mDataCentre.mValue) + Number(aBody.mLowestRevision) +
           Repeated(aBody.mMembers);
  }
};

} // namespace

std::size_t
EncodedSize(const ControlMessage& aMessage)
{
  return Length(SizeOf(aMessage.mSender)) + Number(aMessage.mRevisionInForce) +
         Repeated(aMessage.mRelayedSummaries) +
         Length(std::visit(BodySize{}, aMessage.mBody));
}

} // namespace sassafrasknot::testing
