#include "name.hpp"
#include "peer_convert.hpp"
#include "repeated.hpp"

namespace sassafrasknot::protocol {
namespace {

using coordination::AnswerReport;
using coordination::AnswerReports;
using coordination::FlowLookup;
using coordination::FlowRecord;
using coordination::FlowRecords;
using coordination::HandoverAcknowledgement;
using coordination::HandoverBatch;
using coordination::ReportRequest;
using coordination::TrafficMessage;

/// Converts a number to an enumerator, if it is at most that of aLast.
template<typename Enum>
bool
EnumFromWire(std::uint32_t aWire, Enum aLast, Enum& aValue)
{
  aValue = static_cast<Enum>(aWire);
  return aWire <= static_cast<std::uint32_t>(aLast);
}

void
KeyToWire(const state::FlowKey& aKey, peer::FlowKey& aWire)
{
  aWire.set_caller(ToWire(aKey.mCaller));
  aWire.set_service(ToWire(aKey.mService));
  aWire.set_protocol(static_cast<std::uint32_t>(aKey.mProtocol));
}

bool
KeyFromWire(const peer::FlowKey& aWire, state::FlowKey& aKey)
{
  aKey.mProtocol = static_cast<state::TransportProtocol>(aWire.protocol());
  const bool known =
    aWire.protocol() ==
      static_cast<std::uint32_t>(state::TransportProtocol::Tcp) ||
    aWire.protocol() ==
      static_cast<std::uint32_t>(state::TransportProtocol::Udp);
  return known && FromWire(aWire.caller(), aKey.mCaller) &&
         FromWire(aWire.service(), aKey.mService);
}

void
ReportToWire(const AnswerReport& aReport, peer::AnswerReport& aWire)
{
  KeyToWire(aReport.mKey, *aWire.mutable_key());
  aWire.set_upstream(ToWire(aReport.mUpstream));
  aWire.set_kind(static_cast<std::uint32_t>(aReport.mKind));
  aWire.set_payload(aReport.mHasPayload);
  aWire.set_next_sequence(aReport.mNextSequence);
}

bool
ReportFromWire(const peer::AnswerReport& aWire, AnswerReport& aReport)
{
  aReport.mHasPayload = aWire.payload();
  aReport.mNextSequence = aWire.next_sequence();
  return KeyFromWire(aWire.key(), aReport.mKey) &&
         FromWire(aWire.upstream(), aReport.mUpstream) &&
         EnumFromWire(aWire.kind(), state::SegmentKind::Reset, aReport.mKind);
}

void
RecordToWire(const FlowRecord& aRecord, peer::FlowRecord& aWire)
{
  KeyToWire(aRecord.mKey, *aWire.mutable_key());
  aWire.set_upstream(ToWire(aRecord.mUpstream));
  aWire.set_flow_class(static_cast<std::uint32_t>(aRecord.mFlowClass));
  aWire.set_payload_forwarded(aRecord.mPayloadForwarded);
  aWire.set_answered(aRecord.mAnswered);
  aWire.set_ended(aRecord.mEnded);
}

bool
RecordFromWire(const peer::FlowRecord& aWire, FlowRecord& aRecord)
{
  aRecord.mPayloadForwarded = aWire.payload_forwarded();
  aRecord.mAnswered = aWire.answered();
  aRecord.mEnded = aWire.ended();
  return KeyFromWire(aWire.key(), aRecord.mKey) &&
         FromWire(aWire.upstream(), aRecord.mUpstream) &&
         EnumFromWire(
           aWire.flow_class(), state::FlowClass::Long, aRecord.mFlowClass);
}

/// Converts a message into the field of the oneof for its kind.
struct BodyWriter
{
  peer::TrafficMessage& mWire;

  void operator()(const AnswerReports& aBody) const
  {
    ListToWire(aBody.mReports,
               *mWire.mutable_answer_reports()->mutable_reports(),
               ReportToWire);
  }
  void operator()(const FlowRecords& aBody) const
  {
    ListToWire(aBody.mRecords,
               *mWire.mutable_flow_copies()->mutable_records(),
               RecordToWire);
  }
  void operator()(const HandoverBatch& aBody) const
  {
    auto& wire = *mWire.mutable_handover_batch();
    wire.set_batch(aBody.mBatch);
    wire.set_last(aBody.mLast);
    ListToWire(aBody.mRecords, *wire.mutable_records(), RecordToWire);
  }
  void operator()(const HandoverAcknowledgement& aBody) const
  {
    mWire.mutable_handover_acknowledgement()->set_batch(aBody.mBatch);
  }
  void operator()(const ReportRequest& aBody) const
  {
    mWire.mutable_report_request()->set_shard_hash(aBody.mShardHash);
  }
  void operator()(const FlowLookup& aBody) const
  {
    KeyToWire(aBody.mKey, *mWire.mutable_flow_lookup()->mutable_key());
  }
};

bool
BatchFromWire(const peer::HandoverBatch& aWire, HandoverBatch& aBatch)
{
  aBatch.mBatch = aWire.batch();
  aBatch.mLast = aWire.last();
  return ListFromWire(aWire.records(), aBatch.mRecords, RecordFromWire);
}

} // namespace

std::uint64_t
ToWire(const state::Endpoint& aEndpoint)
{
  return std::uint64_t{ aEndpoint.mAddress.mValue } << 16U | aEndpoint.mPort;
}

bool
FromWire(std::uint64_t aWire, state::Endpoint& aEndpoint)
{
  aEndpoint.mAddress.mValue = static_cast<std::uint32_t>(aWire >> 16U);
  aEndpoint.mPort = static_cast<std::uint16_t>(aWire);
  return aWire >> 48U == 0;
}

void
ToWire(const TrafficMessage& aMessage, peer::TrafficMessage& aWire)
{
  std::visit(BodyWriter{ aWire }, aMessage);
}

bool
FromWire(const peer::TrafficMessage& aWire, TrafficMessage& aMessage)
{
  switch (aWire.body_case()) {
    case peer::TrafficMessage::kAnswerReports:
      return ListFromWire(aWire.answer_reports().reports(),
                          aMessage.emplace<AnswerReports>().mReports,
                          ReportFromWire);
    case peer::TrafficMessage::kFlowCopies:
      return ListFromWire(aWire.flow_copies().records(),
                          aMessage.emplace<FlowRecords>().mRecords,
                          RecordFromWire);
    case peer::TrafficMessage::kHandoverBatch:
      return BatchFromWire(aWire.handover_batch(),
                           aMessage.emplace<HandoverBatch>());
    case peer::TrafficMessage::kHandoverAcknowledgement:
      aMessage =
        HandoverAcknowledgement{ aWire.handover_acknowledgement().batch() };
      return true;
    case peer::TrafficMessage::kReportRequest:
      aMessage = ReportRequest{ aWire.report_request().shard_hash() };
      return true;
    case peer::TrafficMessage::kFlowLookup:
      return KeyFromWire(aWire.flow_lookup().key(),
                         aMessage.emplace<FlowLookup>().mKey);
    case peer::TrafficMessage::BODY_NOT_SET:
      return false;
  }
  return false;
}

void
ToWire(const TrafficEnvelope& aEnvelope, peer::TrafficEnvelope& aWire)
{
  aWire.set_sender(aEnvelope.mSender.mValue);
  ToWire(aEnvelope.mMessage, *aWire.mutable_message());
}

bool
FromWire(const peer::TrafficEnvelope& aWire, TrafficEnvelope& aEnvelope)
{
  aEnvelope.mSender.mValue = aWire.sender();
  return IsName(aWire.sender()) &&
         FromWire(aWire.message(), aEnvelope.mMessage);
}

} // namespace sassafrasknot::protocol
