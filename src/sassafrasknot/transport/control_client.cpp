#include "sassafrasknot/transport/control_client.hpp"

#include "sassafrasknot/protocol/generated/peer.grpc.pb.h"
#include "sassafrasknot/protocol/peer_convert.hpp"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "callback_queue.hpp"
#include "grpc_status.hpp"
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>

namespace sassafrasknot::transport {
namespace {

constexpr std::chrono::seconds kExchangeLimit{ 5 };
constexpr std::chrono::seconds kTakeOverLimit{ 2 };
/// Channels to peers that are kept open.
constexpr std::size_t kChannels = 64;

template<typename Request, typename Answer>
struct Call
{
  grpc::ClientContext mContext;
  Request mRequest;
  Answer mAnswer;
};

} // namespace

struct ControlClient::Impl
{
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::map<state::Endpoint, std::shared_ptr<grpc::Channel>> mChannels;
  std::set<grpc::ClientContext*> mActive;
  bool mClosed = false;

  std::shared_ptr<grpc::Channel> ChannelTo(const state::Endpoint& aTo)
  {
    const std::scoped_lock lock(mMutex);
    if (const auto found = mChannels.find(aTo); found != mChannels.end()) {
      return found->second;
    }
    if (mChannels.size() >= kChannels) {
      mChannels.erase(mChannels.begin());
    }
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(kMaxGrpcMessageBytes);
    auto channel = grpc::CreateCustomChannel(
      state::ToString(aTo), grpc::InsecureChannelCredentials(), arguments);
    mChannels.emplace(aTo, channel);
    return channel;
  }

  /// Starts a call with aStart(call, callback); aDone gets its status.
  template<typename CallType, typename Start, typename Done>
  void Run(std::shared_ptr<CallType> aCall,
           std::chrono::seconds aLimit,
           const Start& aStart,
           Done aDone)
  {
    auto* context = &aCall->mContext;
    context->set_deadline(std::chrono::system_clock::now() + aLimit);
    {
      const std::scoped_lock lock(mMutex);
      if (mClosed) {
        return;
      }
      mActive.insert(context);
    }
    aStart(*aCall, [this, aCall, aDone](const grpc::Status& aStatus) {
      aDone(*aCall, aStatus);
      const std::scoped_lock lock(mMutex);
      mActive.erase(&aCall->mContext);
      mEnded.notify_all();
    });
  }
};

ControlClient::ControlClient()
  : mImpl(std::make_unique<Impl>())
{
  KeepCallbackQueue();
}

ControlClient::~ControlClient()
{
  std::unique_lock lock(mImpl->mMutex);
  mImpl->mClosed = true;
  for (auto* context : mImpl->mActive) {
    context->TryCancel();
  }
  mImpl->mEnded.wait(lock, [this] { return mImpl->mActive.empty(); });
}

void
ControlClient::Pull(const state::Endpoint& aTo,
                    const coordination::ControlMessage& aMessage,
                    const AnswerCallback<coordination::ControlMessage>& aDone)
{
  using SyncCall = Call<peer::ControlMessage, peer::ControlMessage>;
  auto call = std::make_shared<SyncCall>();
  protocol::ToWire(aMessage, call->mRequest);
  const std::shared_ptr<peer::ConfigurationSync::Stub> stub =
    peer::ConfigurationSync::NewStub(mImpl->ChannelTo(aTo));
  mImpl->Run(
    call,
    kExchangeLimit,
    [stub](SyncCall& aCall, auto aCallback) {
      stub->async()->Exchange(
        &aCall.mContext, &aCall.mRequest, &aCall.mAnswer, aCallback);
    },
    [stub, aDone](const SyncCall& aCall, const grpc::Status& aStatus) {
      if (!aStatus.ok()) {
        aDone(ToError(aStatus));
        return;
      }
      coordination::ControlMessage answer;
      if (protocol::FromWire(aCall.mAnswer, answer)) {
        aDone(std::move(answer));
      } else {
        aDone(state::Error{ state::ErrorCode::Malformed,
                            state::Verdict::Answered,
                            "malformed answer" });
      }
    });
}

void
ControlClient::SendHandover(
  const state::Endpoint& aTo,
  const state::InstanceId& aSelf,
  coordination::HandoverBatch aBatch,
  const std::function<
    void(state::Result<coordination::HandoverAcknowledgement>)>& aDone)
{
  using BatchCall = Call<peer::TrafficEnvelope, peer::HandoverAcknowledgement>;
  auto call = std::make_shared<BatchCall>();
  protocol::ToWire(protocol::TrafficEnvelope{ aSelf, std::move(aBatch) },
                   call->mRequest);
  const std::shared_ptr<peer::Handover::Stub> stub =
    peer::Handover::NewStub(mImpl->ChannelTo(aTo));
  mImpl->Run(
    call,
    kTakeOverLimit,
    [stub](BatchCall& aCall, auto aCallback) {
      stub->async()->TakeOver(
        &aCall.mContext, &aCall.mRequest, &aCall.mAnswer, aCallback);
    },
    [stub, aDone](const BatchCall& aCall, const grpc::Status& aStatus) {
      if (aStatus.ok()) {
        aDone(coordination::HandoverAcknowledgement{ aCall.mAnswer.batch() });
      } else {
        aDone(ToError(aStatus));
      }
    });
}

} // namespace sassafrasknot::transport
