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

constexpr std::chrono::seconds kPullTimeout{ 5 };
constexpr std::chrono::seconds kHandoverTimeout{ 2 };
/// Maximum number of channels to peers that are kept open.
constexpr std::size_t kMaxChannels = 64;

/// Context and messages of an RPC, which must outlive the RPC.
template<typename Request, typename Response>
struct Call
{
  grpc::ClientContext mContext;
  Request mRequest;
  Response mResponse;
};

} // namespace

struct ControlClient::Impl
{
  std::mutex mMutex;
  std::condition_variable mCallEnded;
  std::map<state::Endpoint, std::shared_ptr<grpc::Channel>> mChannels;
  std::set<grpc::ClientContext*> mActiveCalls;
  bool mClosed = false;

  /// Returns the existing channel to an endpoint, or makes one. At the limit of
  /// channels, the one with the lowest endpoint is removed first.
  std::shared_ptr<grpc::Channel> ChannelTo(const state::Endpoint& aTo)
  {
    const std::scoped_lock lock(mMutex);
    if (const auto found = mChannels.find(aTo); found != mChannels.end()) {
      return found->second;
    }
    if (mChannels.size() >= kMaxChannels) {
      mChannels.erase(mChannels.begin());
    }
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(kMaxGrpcMessageBytes);
    auto channel = grpc::CreateCustomChannel(
      state::ToString(aTo), grpc::InsecureChannelCredentials(), arguments);
    mChannels.emplace(aTo, channel);
    return channel;
  }

  /// Starts a call with aStart(call, callback) and calls aDone(call, status)
  /// when it has ended. Does nothing while the client is being destroyed.
  template<typename CallType, typename Start, typename Done>
  void Run(std::shared_ptr<CallType> aCall,
           std::chrono::seconds aTimeout,
           const Start& aStart,
           Done aDone)
  {
    auto* context = &aCall->mContext;
    context->set_deadline(std::chrono::system_clock::now() + aTimeout);
    {
      const std::scoped_lock lock(mMutex);
      if (mClosed) {
        return;
      }
      mActiveCalls.insert(context);
    }
    aStart(*aCall, [this, aCall, aDone](const grpc::Status& aStatus) {
      aDone(*aCall, aStatus);
      const std::scoped_lock lock(mMutex);
      mActiveCalls.erase(&aCall->mContext);
      mCallEnded.notify_all();
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
  for (auto* context : mImpl->mActiveCalls) {
    context->TryCancel();
  }
  mImpl->mCallEnded.wait(lock, [this] { return mImpl->mActiveCalls.empty(); });
}

void
ControlClient::Pull(const state::Endpoint& aTo,
                    const coordination::ControlMessage& aMessage,
                    const ResponseCallback<coordination::ControlMessage>& aDone)
{
  using PullCall = Call<peer::ControlMessage, peer::ControlMessage>;
  auto call = std::make_shared<PullCall>();
  protocol::ToWire(aMessage, call->mRequest);
  const std::shared_ptr<peer::ConfigurationSync::Stub> stub =
    peer::ConfigurationSync::NewStub(mImpl->ChannelTo(aTo));
  mImpl->Run(
    call,
    kPullTimeout,
    [stub](PullCall& aCall, auto aCallback) {
      stub->async()->Exchange(
        &aCall.mContext, &aCall.mRequest, &aCall.mResponse, aCallback);
    },
    [stub, aDone](const PullCall& aCall, const grpc::Status& aStatus) {
      if (!aStatus.ok()) {
        aDone(ToError(aStatus));
        return;
      }
      coordination::ControlMessage response;
      if (protocol::FromWire(aCall.mResponse, response)) {
        aDone(std::move(response));
      } else {
        aDone(state::Error{ state::ErrorCode::Malformed,
                            state::Verdict::Answered,
                            "malformed response to a pull" });
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
    kHandoverTimeout,
    [stub](BatchCall& aCall, auto aCallback) {
      stub->async()->TakeOver(
        &aCall.mContext, &aCall.mRequest, &aCall.mResponse, aCallback);
    },
    [stub, aDone](const BatchCall& aCall, const grpc::Status& aStatus) {
      if (aStatus.ok()) {
        aDone(coordination::HandoverAcknowledgement{ aCall.mResponse.batch() });
      } else {
        aDone(ToError(aStatus));
      }
    });
}

} // namespace sassafrasknot::transport
