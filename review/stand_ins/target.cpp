#include "target.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace review {
namespace {

constexpr std::size_t kTagBytes = 8;
/// Work time of a request, about that of the desk service of krampon-prod.
constexpr milliseconds kWorkTime{ 40 };
/// Retransmissions of the platform: first and longest delay, and their number.
constexpr milliseconds kFirstRetransmission{ 200 };
constexpr milliseconds kMaxRetransmission{ 1600 };
constexpr int kMaxTries = 8;

} // namespace

Target::Target(io_context& aContext,
               Record& aRecord,
               std::uint64_t aTag,
               std::string aService,
               const Endpoint& aAddress)
  : mAddress(aAddress)
  , mService(std::move(aService))
  , mContext(aContext)
  , mRecord(aRecord)
  , mTag(aTag)
  , mSocket(std::make_shared<DatagramSocket>(aContext, aAddress))
  , mNextSequence(static_cast<std::uint32_t>(aTag) * 2654435761U)
{
}

void
Target::Start()
{
  mSocket->Start([self = shared_from_this()](const auto& /*aFrom*/,
                                             std::string_view aBytes) {
    self->Receive(aBytes);
  });
  mHealth = std::make_shared<HttpServer>(
    mContext,
    mAddress,
    [](const std::string& aTarget, const Respond& aRespond) {
      aRespond(aTarget == "/health" ? 200 : 404, "");
    });
  mHealth->Start();
}

std::string
Target::Id() const
{
  std::array<char, 20> text{};
  const auto size = std::snprintf(
    text.data(), text.size(), "i-%llx", static_cast<unsigned long long>(mTag));
  return { text.data(), static_cast<std::size_t>(size) };
}

std::string
Target::Entry(const std::string& aZone) const
{
  return R"({"backend":")" + mService + R"(","address":")" +
         ToString(mAddress) + R"(","zone":")" + aZone +
         R"(","version":"v1","concurrency":3,"state":"ready",)"
         R"("warmup_left_ms":0,"seq":4,"born":1700000000000})";
}

bool
Target::HasOpen(const FlowKey& aKey) const
{
  const auto found = mFlows.find(aKey);
  return found != mFlows.end() && found->second.mOpen;
}

void
Target::Receive(std::string_view aBytes)
{
  if (aBytes.size() < kTagBytes) {
    return;
  }
  std::uint64_t tag = 0;
  for (const char byte : aBytes.substr(0, kTagBytes)) {
    tag = tag << 8U | static_cast<unsigned char>(byte);
  }
  const auto packet = Decode(aBytes.substr(kTagBytes));
  if (!packet || packet->mSum != SumOf(*packet)) {
    mRecord.Violation("UNASKED", "target " + Id() + " got an altered packet");
    return;
  }
  if (tag == 0 || tag == mTag) {
    OnPacket(*packet);
  }
}

void
Target::OnPacket(const Packet& aPacket)
{
  const FlowKey key{ aPacket.mSource, aPacket.mDestination };
  if (aPacket.mFlags == kSyn) {
    OnOpening(key, aPacket);
    return;
  }
  const auto found = mFlows.find(key);
  if (found == mFlows.end()) {
    if ((aPacket.mFlags & kFin) != 0) {
      Send(key, { aPacket.mAcknowledged, aPacket.mSequence, kAck });
    } else if ((aPacket.mFlags & kRst) == 0) {
      Send(key, { aPacket.mAcknowledged, 0, kRst });
    }
    return;
  }
  auto& flow = found->second;
  if ((aPacket.mFlags & kRst) != 0) {
    mFlows.erase(found);
    return;
  }
  if (!flow.mOpen && aPacket.mAcknowledged != flow.mSequence) {
    return; // It acknowledges another target, where the flow opens.
  }
  if (!flow.mOpen) {
    flow.mOpen = true;
    mRecord.Line("flow " + FormatFlow(key) + " opens at " + Id());
  }
  flow.mEcho = aPacket.mEcho;
  OnData(key, flow, aPacket);
}

void
Target::OnOpening(const FlowKey& aKey, const Packet& aPacket)
{
  auto& flow = mFlows[aKey];
  if (flow.mOpen) {
    return;
  }
  if (flow.mSequence == 0) {
    mNextSequence += 1000003;
    flow.mSequence = mNextSequence | 1U;
    flow.mExpected = aPacket.mSequence + 1;
  }
  flow.mEcho = aPacket.mEcho;
  Send(aKey, { flow.mSequence - 1, flow.mExpected, kSyn | kAck, flow.mEcho });
}

void
Target::OnData(const FlowKey& aKey, Flow& aFlow, const Packet& aPacket)
{
  const auto acknowledged = aPacket.mAcknowledged - aFlow.mSequence;
  if (acknowledged > 0 && acknowledged <= aFlow.mUnacknowledged.size()) {
    aFlow.mUnacknowledged.erase(0, acknowledged);
    aFlow.mSequence = aPacket.mAcknowledged;
  }
  if ((aPacket.mFlags & kFin) != 0) {
    Send(aKey, { aFlow.mSequence, aPacket.mSequence + 1, kAck, aFlow.mEcho });
    mFlows.erase(aKey);
    return;
  }
  if (aPacket.mData.empty()) {
    return;
  }
  if (aPacket.mSequence == aFlow.mExpected) {
    aFlow.mExpected += static_cast<std::uint32_t>(aPacket.mData.size());
    aFlow.mReceived += aPacket.mData;
  }
  Send(aKey, { aFlow.mSequence, aFlow.mExpected, kAck, aFlow.mEcho });
  if (const auto end = aFlow.mReceived.find("\r\n\r\n");
      end != std::string::npos) {
    const auto request = aFlow.mReceived.substr(0, end);
    aFlow.mReceived.erase(0, end + 4);
    Run(aKey, request);
  }
}

void
Target::Run(const FlowKey& aKey, const std::string& aRequest)
{
  const std::string name = "Request-Id: ";
  const auto id = aRequest.substr(aRequest.find(name) + name.size());
  mRecord.Line("request " + id + " runs at " + Id() + " (" + mService + ")");
  if (mOnRun) {
    mOnRun(aKey, id);
  }
  RunAfter(mContext, kWorkTime, [self = shared_from_this(), aKey, id] {
    const auto found = self->mFlows.find(aKey);
    if (found == self->mFlows.end()) {
      return;
    }
    found->second.mUnacknowledged += "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                     "\r\nContent-Length: 2\r\n\r\nok";
    self->SendAnswer(aKey, found->second.mSequence, 0);
  });
}

void
Target::SendAnswer(const FlowKey& aKey, std::uint32_t aSequence, int aTry)
{
  const auto found = mFlows.find(aKey);
  if (found == mFlows.end() || found->second.mUnacknowledged.empty() ||
      found->second.mSequence != aSequence || aTry > kMaxTries) {
    return;
  }
  const auto& flow = found->second;
  Send(aKey,
       { flow.mSequence,
         flow.mExpected,
         kAck,
         flow.mEcho,
         0,
         {},
         {},
         flow.mUnacknowledged });
  RunAfter(mContext,
           std::min(kFirstRetransmission * (1 << aTry), kMaxRetransmission),
           [self = shared_from_this(), aKey, aSequence, aTry] {
             self->SendAnswer(aKey, aSequence, aTry + 1);
           });
}

void
Target::Send(const FlowKey& aKey, Packet aPacket)
{
  aPacket.mSource = aKey.mService;
  aPacket.mDestination = aKey.mCaller;
  aPacket.mSum = SumOf(aPacket);
  mSocket->Send({ aKey.mCaller.mAddress, kTrafficPort }, Encode(aPacket));
}

} // namespace review
