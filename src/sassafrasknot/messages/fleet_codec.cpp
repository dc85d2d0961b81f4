#include "sassafrasknot/messages/fleet_codec.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>

#include "generated/fleet.pb.h"
#include <boost/endian/conversion.hpp>
#include <zlib.h>

namespace sassafrasknot::messages {
namespace {

using std::chrono::milliseconds;

/// Factor of the encoded mean utilisation.
constexpr double kThousandths = 1000;

state::Error
Malformed(const char* aMessage)
{
  return { state::ErrorCode::Malformed, state::Verdict::NotRun, aMessage };
}

/// Returns a duration in milliseconds, rounded up, since an age that is passed
/// on must not become younger, and limited to what a field holds. The largest
/// value is left out, since one field contains 1 + the duration.
std::uint32_t
ToMilliseconds(state::Duration aDuration)
{
  constexpr auto kMaxCount = std::numeric_limits<std::uint32_t>::max() - 1;
  const auto count = std::chrono::ceil<milliseconds>(aDuration).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(count, 0, std::int64_t{ kMaxCount }));
}

void
ToWire(const fleet::Member& aMember, WireMember& aWire)
{
  aWire.set_address(aMember.mEndpoint.mAddress.mValue);
  aWire.set_port(aMember.mEndpoint.mPort);
  aWire.set_data_centre(aMember.mDataCentre.mValue);
  aWire.set_incarnation(aMember.mIncarnation);
  aWire.set_leaving(aMember.mLeaving);
  aWire.set_blind(aMember.mStoreUnreachable);
  aWire.set_weak(aMember.mLowCapacity);
}

state::Result<fleet::Member>
FromWire(const WireMember& aWire)
{
  if (aWire.address() == 0 || aWire.port() == 0 ||
      aWire.port() > std::numeric_limits<std::uint16_t>::max() ||
      aWire.data_centre().empty()) {
    return Malformed(
      "fleet message: a member lacks an address, a port from 1 to 65535 or a "
      "data centre");
  }
  return fleet::Member{ { { aWire.address() },
                          static_cast<std::uint16_t>(aWire.port()) },
                        { aWire.data_centre() },
                        aWire.incarnation(),
                        aWire.leaving(),
                        aWire.blind(),
                        aWire.weak() };
}

void
ToWire(const fleet::ChangeSet& aChanges, WireChanges& aWire)
{
  aWire.set_after(aChanges.mAfter);
  aWire.set_up_to(aChanges.mUpTo);
  for (const auto& record : aChanges.mRecords) {
    auto& wire = *aWire.add_records();
    wire.set_key(record.mKey);
    wire.set_value(record.mValue);
    wire.set_revision(record.mRevision);
    wire.set_created(record.mCreateRevision);
    wire.set_deleted(record.mDeleted);
  }
}

fleet::ChangeSet
FromWire(const WireChanges& aWire)
{
  fleet::ChangeSet changes{ aWire.after(), aWire.up_to(), {} };
  for (const auto& record : aWire.records()) {
    changes.mRecords.push_back({ record.key(),
                                 record.value(),
                                 record.revision(),
                                 record.created(),
                                 record.deleted() });
  }
  return changes;
}

void
ToWire(const std::vector<fleet::UpstreamLoadEntry>& aLoads, WireLoads& aWire)
{
  const bool hasSpeeds = std::ranges::any_of(
    aLoads, [](const auto& aLoad) { return aLoad.mSpeedPercent != 0; });
  for (const auto& load : aLoads) {
    aWire.add_tokens(load.mToken);
    aWire.add_feeds(load.mLoad.mFeeds);
    aWire.add_at_work(load.mLoad.mActiveRequests);
    if (hasSpeeds) {
      aWire.add_speed_percent(load.mSpeedPercent);
    }
  }
}

state::Result<std::vector<fleet::UpstreamLoadEntry>>
FromWire(const WireLoads& aWire)
{
  // Earlier versions send no speeds.
  const bool hasSpeeds = aWire.speed_percent_size() > 0;
  if (aWire.feeds_size() != aWire.tokens_size() ||
      aWire.at_work_size() != aWire.tokens_size() ||
      (hasSpeeds && aWire.speed_percent_size() != aWire.tokens_size())) {
    return Malformed(
      "fleet message: lists of loads by upstream differ in length");
  }
  std::vector<fleet::UpstreamLoadEntry> loads;
  loads.reserve(static_cast<std::size_t>(aWire.tokens_size()));
  for (int index = 0; index < aWire.tokens_size(); ++index) {
    loads.push_back({ aWire.tokens(index),
                      { aWire.feeds(index), aWire.at_work(index) },
                      hasSpeeds ? aWire.speed_percent(index) : 0 });
  }
  return loads;
}

/// Maximum size of a set of changes, in bytes before compression.
constexpr std::uint32_t kMaxChangesBytes = std::uint32_t{ 64 } << 20U;
/// Bytes that one byte of a deflate stream expands to at most.
constexpr std::size_t kMaxCompressionRatio = 1032;

/// Compresses changes, since configurations are repetitive text and links
/// between instances may be slow. The result starts with the length before
/// compression, as 4 bytes in little-endian order.
std::string
Compress(const std::string& aBytes)
{
  constexpr int kFastest = 1;
  auto size = compressBound(aBytes.size());
  std::string result(sizeof(std::uint32_t) + size, '\0');
  boost::endian::store_little_u32(
    reinterpret_cast<unsigned char*>(result.data()),
    static_cast<std::uint32_t>(aBytes.size()));
  compress2(reinterpret_cast<Bytef*>(result.data() + sizeof(std::uint32_t)),
            &size,
            reinterpret_cast<const Bytef*>(aBytes.data()),
            aBytes.size(),
            kFastest);
  result.resize(sizeof(std::uint32_t) + size);
  return result;
}

/// Returns the original of what Compress returned; nothing if the length is
/// above kMaxChangesBytes or the content does not match it. A length that the
/// content cannot have is rejected before memory is allocated for it.
std::optional<std::string>
Decompress(std::string_view aBytes)
{
  if (aBytes.size() < sizeof(std::uint32_t)) {
    return std::nullopt;
  }
  const auto length = boost::endian::load_little_u32(
    reinterpret_cast<const unsigned char*>(aBytes.data()));
  const auto body = aBytes.substr(sizeof(std::uint32_t));
  if (length > std::min<std::size_t>(kMaxChangesBytes,
                                     body.size() * kMaxCompressionRatio)) {
    return std::nullopt;
  }
  std::string result(length, '\0');
  uLongf size = length;
  const int status = uncompress(reinterpret_cast<Bytef*>(result.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(body.data()),
                                body.size());
  if (status != Z_OK || size != length) {
    return std::nullopt;
  }
  return result;
}

} // namespace

std::string
EncodeMessage(const fleet::FleetMessage& aMessage)
{
  WireMessage wire;
  ToWire(aMessage.mSender, *wire.mutable_sender());
  wire.set_revision(aMessage.mRevision);
  if (aMessage.mConfirmedAge) {
    wire.set_confirmed_age_ms_plus_one(ToMilliseconds(*aMessage.mConfirmedAge) +
                                       1);
  }
  for (const auto& gossip : aMessage.mMembers) {
    auto& member = *wire.add_members();
    ToWire(gossip.mMember, member);
    member.set_age_ms(ToMilliseconds(gossip.mContactAge));
  }
  if (aMessage.mLoads) {
    ToWire(*aMessage.mLoads, *wire.mutable_loads());
  }
  for (const auto& aggregated : aMessage.mDataCentreLoads) {
    auto& wireLoads = *wire.add_sums();
    wireLoads.set_data_centre(aggregated.mDataCentre.mValue);
    wireLoads.set_age_ms(ToMilliseconds(aggregated.mAge));
    ToWire(aggregated.mLoads, *wireLoads.mutable_loads());
    if (aggregated.mMeanUtilisation) {
      wireLoads.set_mean_use_thousandths(static_cast<std::uint32_t>(
        *aggregated.mMeanUtilisation * kThousandths));
    }
  }
  for (const auto token : aMessage.mUnresponsive) {
    wire.add_silent(token);
  }
  for (const auto token : aMessage.mProbeCandidates) {
    wire.add_unanswering(token);
  }
  for (const auto& [token, probeAge] : aMessage.mReachable) {
    wire.add_proven(token);
    wire.add_proven_age_ms(ToMilliseconds(probeAge));
  }
  if (aMessage.mChanges) {
    ToWire(*aMessage.mChanges, *wire.mutable_changes());
  }
  return wire.SerializeAsString();
}

state::Result<fleet::FleetMessage>
DecodeMessage(std::span<const std::uint8_t> aBytes)
{
  WireMessage wire;
  if (!wire.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return Malformed("fleet message: datagram is not a valid WireMessage");
  }
  auto sender = FromWire(wire.sender());
  if (!sender) {
    return sender.error();
  }
  fleet::FleetMessage message;
  message.mSender = std::move(sender).value();
  message.mRevision = wire.revision();
  if (const auto age = wire.confirmed_age_ms_plus_one(); age > 0) {
    message.mConfirmedAge = milliseconds(age - 1);
  }
  for (const auto& gossip : wire.members()) {
    auto member = FromWire(gossip);
    if (!member) {
      return member.error();
    }
    message.mMembers.push_back(
      { std::move(member).value(), milliseconds(gossip.age_ms()) });
  }
  if (wire.has_loads()) {
    auto loads = FromWire(wire.loads());
    if (!loads) {
      return loads.error();
    }
    message.mLoads = std::move(loads).value();
  }
  for (const auto& sum : wire.sums()) {
    auto loads = FromWire(sum.loads());
    if (!loads) {
      return loads.error();
    }
    message.mDataCentreLoads.push_back({ { sum.data_centre() },
                                         milliseconds(sum.age_ms()),
                                         std::move(loads).value(),
                                         std::nullopt });
    if (sum.has_mean_use_thousandths()) {
      message.mDataCentreLoads.back().mMeanUtilisation =
        sum.mean_use_thousandths() / kThousandths;
    }
  }
  message.mUnresponsive.assign(wire.silent().begin(), wire.silent().end());
  message.mProbeCandidates.assign(wire.unanswering().begin(),
                                  wire.unanswering().end());
  // Earlier versions send no ages.
  const bool hasAges = wire.proven_age_ms_size() > 0;
  if (hasAges && wire.proven_size() != wire.proven_age_ms_size()) {
    return Malformed(
      "fleet message: proven and proven_age_ms differ in length");
  }
  for (int index = 0; index < wire.proven_size(); ++index) {
    message.mReachable.push_back(
      { wire.proven(index),
        milliseconds(hasAges ? wire.proven_age_ms(index) : 0) });
  }
  if (wire.has_changes()) {
    message.mChanges = FromWire(wire.changes());
  }
  return message;
}

std::string
EncodeChanges(const fleet::ChangeSet& aChanges)
{
  WireChanges wire;
  ToWire(aChanges, wire);
  return Compress(wire.SerializeAsString());
}

state::Result<fleet::ChangeSet>
DecodeChanges(std::string_view aBytes)
{
  const auto bytes = Decompress(aBytes);
  WireChanges wire;
  if (!bytes || !wire.ParseFromString(*bytes)) {
    return Malformed(
      "changes: response is not a compressed WireChanges of at most 64 MiB");
  }
  return FromWire(wire);
}

} // namespace sassafrasknot::messages
