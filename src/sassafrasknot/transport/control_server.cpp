#include "sassafrasknot/transport/control_server.hpp"

#include "sassafrasknot/protocol/generated/peer.grpc.pb.h"
#include "sassafrasknot/protocol/peer_convert.hpp"

#include <atomic>
#include <chrono>
#include <shared_mutex>
#include <utility>

#include "callback_queue.hpp"
#include "grpc_status.hpp"
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace sassafrasknot::transport {
namespace {

using grpc::CallbackServerContext;
using grpc::ServerUnaryReactor;

/// Finishes a call exactly once, at the latest when it is destroyed.
class CallFinisher
{
public:
  explicit CallFinisher(ServerUnaryReactor* aReactor)
    : mReactor(aReactor)
  {
  }
  CallFinisher(const CallFinisher&) = delete;
  CallFinisher& operator=(const CallFinisher&) = delete;
  ~CallFinisher()
  {
    Finish({ grpc::StatusCode::UNAVAILABLE, "the instance is ending" });
  }

  /// Runs a function that writes the answer and finishes, unless finished.
  template<typename Write>
  void Finish(const grpc::Status& aStatus, const Write& aWrite)
  {
    if (!mFinished.exchange(true)) {
      aWrite();
      mReactor->Finish(aStatus);
    }
  }
  void Finish(const grpc::Status& aStatus)
  {
    Finish(aStatus, [] {});
  }

private:
  ServerUnaryReactor* mReactor;
  std::atomic<bool> mFinished{ false };
};

/// Makes a reply that writes its answer with aWrite(answer, wire).
template<typename Answer, typename Wire, typename Write>
ReplyCallback<Answer>
MakeReply(ServerUnaryReactor* aReactor, Wire* aWire, Write aWrite)
{
  auto finisher = std::make_shared<CallFinisher>(aReactor);
  return [finisher, aWire, aWrite](state::Result<Answer> aAnswer) {
    if (!aAnswer) {
      finisher->Finish(ToStatus(aAnswer.error()));
      return;
    }
    finisher->Finish(grpc::Status::OK,
                     [&] { aWrite(aAnswer.value(), *aWire); });
  };
}

ServerUnaryReactor*
Fail(CallbackServerContext* aContext, const grpc::Status& aStatus)
{
  auto* reactor = aContext->DefaultReactor();
  reactor->Finish(aStatus);
  return reactor;
}

const grpc::Status kMalformed{ grpc::StatusCode::INVALID_ARGUMENT,
                               "malformed message" };

/// Handlers behind a gate that Close shuts.
class Gate
{
public:
  explicit Gate(ControlHandlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
  }

  /// Calls a handler unless the gate is shut; then its reply is destroyed.
  template<typename Call>
  void Enter(const Call& aCall)
  {
    const std::shared_lock lock(mMutex);
    if (!mClosed) {
      aCall(mHandlers);
    }
  }

  void Close()
  {
    const std::scoped_lock lock(mMutex);
    mClosed = true;
  }

private:
  ControlHandlers mHandlers;
  std::shared_mutex mMutex;
  bool mClosed = false;
};

class SyncService : public peer::ConfigurationSync::CallbackService
{
public:
  explicit SyncService(Gate& aGate)
    : mGate(aGate)
  {
  }

  ServerUnaryReactor* Exchange(CallbackServerContext* aContext,
                               const peer::ControlMessage* aRequest,
                               peer::ControlMessage* aAnswer) override
  {
    coordination::ControlMessage message;
    if (!protocol::FromWire(*aRequest, message)) {
      return Fail(aContext, kMalformed);
    }
    auto* reactor = aContext->DefaultReactor();
    auto reply = MakeReply<coordination::ControlMessage>(
      reactor, aAnswer, [](const auto& aMessage, auto& aWire) {
        protocol::ToWire(aMessage, aWire);
      });
    mGate.Enter([&](const ControlHandlers& aHandlers) {
      aHandlers.mOnPull(std::move(message), std::move(reply));
    });
    return reactor;
  }

private:
  Gate& mGate;
};

class HandoverService : public peer::Handover::CallbackService
{
public:
  explicit HandoverService(Gate& aGate)
    : mGate(aGate)
  {
  }

  ServerUnaryReactor* TakeOver(CallbackServerContext* aContext,
                               const peer::TrafficEnvelope* aRequest,
                               peer::HandoverAcknowledgement* aAnswer) override
  {
    protocol::TrafficEnvelope envelope;
    if (!protocol::FromWire(*aRequest, envelope)) {
      return Fail(aContext, kMalformed);
    }
    auto* batch = std::get_if<coordination::HandoverBatch>(&envelope.mMessage);
    if (batch == nullptr) {
      return Fail(aContext, kMalformed);
    }
    auto* reactor = aContext->DefaultReactor();
    auto reply = MakeReply<coordination::HandoverAcknowledgement>(
      reactor, aAnswer, [](const auto& aMessage, auto& aWire) {
        aWire.set_batch(aMessage.mBatch);
      });
    mGate.Enter([&](const ControlHandlers& aHandlers) {
      aHandlers.mOnHandover(
        envelope.mSender, std::move(*batch), std::move(reply));
    });
    return reactor;
  }

private:
  Gate& mGate;
};

class OperatorService : public peer::Operator::CallbackService
{
public:
  explicit OperatorService(Gate& aGate)
    : mGate(aGate)
  {
  }

  ServerUnaryReactor* Dump(CallbackServerContext* aContext,
                           const peer::Empty* /*aRequest*/,
                           peer::Text* aAnswer) override
  {
    return ReplyWithText(aContext, aAnswer, &ControlHandlers::mOnDump);
  }

  ServerUnaryReactor* Counters(CallbackServerContext* aContext,
                               const peer::Empty* /*aRequest*/,
                               peer::Text* aAnswer) override
  {
    return ReplyWithText(aContext, aAnswer, &ControlHandlers::mOnCounters);
  }

  ServerUnaryReactor* Drain(CallbackServerContext* aContext,
                            const peer::Empty* /*aRequest*/,
                            peer::Empty* /*aAnswer*/) override
  {
    mGate.Enter([](const ControlHandlers& aHandlers) { aHandlers.mOnDrain(); });
    return Fail(aContext, grpc::Status::OK);
  }

private:
  ServerUnaryReactor* ReplyWithText(
    CallbackServerContext* aContext,
    peer::Text* aAnswer,
    std::function<void(ReplyCallback<std::string>)> ControlHandlers::*aHandler)
  {
    auto* reactor = aContext->DefaultReactor();
    auto reply = MakeReply<std::string>(
      reactor, aAnswer, [](const auto& aText, auto& aWire) {
        aWire.set_text(aText);
      });
    mGate.Enter([&](const ControlHandlers& aHandlers) {
      (aHandlers.*aHandler)(std::move(reply));
    });
    return reactor;
  }

  Gate& mGate;
};

} // namespace

struct ControlServer::Impl
{
  explicit Impl(ControlHandlers aHandlers)
    : mGate(std::move(aHandlers))
  {
  }

  Gate mGate;
  SyncService mSync{ mGate };
  HandoverService mHandover{ mGate };
  OperatorService mOperator{ mGate };
  std::unique_ptr<grpc::Server> mServer;
};

ControlServer::ControlServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

ControlServer::~ControlServer()
{
  Close();
  mImpl->mServer->Shutdown(std::chrono::system_clock::now() +
                           std::chrono::milliseconds(500));
  mImpl->mServer->Wait();
}

state::Result<std::unique_ptr<ControlServer>>
ControlServer::Start(const state::Endpoint& aListen, ControlHandlers aHandlers)
{
  KeepCallbackQueue();
  auto impl = std::make_unique<Impl>(std::move(aHandlers));
  grpc::ServerBuilder builder;
  // Without this, two processes could share the port silently.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(kMaxGrpcMessageBytes);
  builder.AddListeningPort(state::ToString(aListen),
                           grpc::InsecureServerCredentials());
  builder.RegisterService(&impl->mSync);
  builder.RegisterService(&impl->mHandover);
  builder.RegisterService(&impl->mOperator);
  impl->mServer = builder.BuildAndStart();
  if (!impl->mServer) {
    return state::Error{ state::ErrorCode::Unavailable,
                         state::Verdict::NotRun,
                         "cannot listen on TCP " + state::ToString(aListen) };
  }
  return std::unique_ptr<ControlServer>(new ControlServer(std::move(impl)));
}

void
ControlServer::Close()
{
  mImpl->mGate.Close();
}

} // namespace sassafrasknot::transport
