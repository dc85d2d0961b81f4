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

/// Finishes an RPC exactly once: with Unavailable when this object is destroyed
/// before Finish was called.
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
    Finish({ grpc::StatusCode::UNAVAILABLE,
             "no reply: dropped by the handler, or the instance is stopping" });
  }

  /// Runs a function that fills in the response, then finishes the call. Does
  /// nothing if the call is already finished.
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

/// Makes a callback that finishes the RPC. It converts the response to the wire
/// message with aWrite(response, wire message).
template<typename Response, typename Wire, typename Write>
ReplyCallback<Response>
MakeReply(ServerUnaryReactor* aReactor, Wire* aWireMessage, Write aWrite)
{
  auto finisher = std::make_shared<CallFinisher>(aReactor);
  return [finisher, aWireMessage, aWrite](state::Result<Response> aResponse) {
    if (!aResponse) {
      finisher->Finish(ToStatus(aResponse.error()));
      return;
    }
    finisher->Finish(grpc::Status::OK,
                     [&] { aWrite(aResponse.value(), *aWireMessage); });
  };
}

/// Finishes an RPC at once with a status.
ServerUnaryReactor*
FinishWith(CallbackServerContext* aContext, const grpc::Status& aStatus)
{
  auto* reactor = aContext->DefaultReactor();
  reactor->Finish(aStatus);
  return reactor;
}

const grpc::Status kMalformed{ grpc::StatusCode::INVALID_ARGUMENT,
                               "malformed request" };

/// The handlers, which can be called until Close. Close waits for handlers that
/// are running.
class GuardedHandlers
{
public:
  explicit GuardedHandlers(ControlHandlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
  }

  /// Runs aCall(handlers), unless closed. In that case the reply callback is
  /// destroyed unused, which ends the RPC with Unavailable.
  template<typename Call>
  void RunUnlessClosed(const Call& aCall)
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

/// Decodes pulls and passes them to ControlHandlers::mOnPull.
class SyncService : public peer::ConfigurationSync::CallbackService
{
public:
  explicit SyncService(GuardedHandlers& aHandlers)
    : mHandlers(aHandlers)
  {
  }

  ServerUnaryReactor* Exchange(CallbackServerContext* aContext,
                               const peer::ControlMessage* aRequest,
                               peer::ControlMessage* aResponse) override
  {
    coordination::ControlMessage message;
    if (!protocol::FromWire(*aRequest, message)) {
      return FinishWith(aContext, kMalformed);
    }
    auto* reactor = aContext->DefaultReactor();
    auto reply = MakeReply<coordination::ControlMessage>(
      reactor, aResponse, [](const auto& aMessage, auto& aWireMessage) {
        protocol::ToWire(aMessage, aWireMessage);
      });
    mHandlers.RunUnlessClosed([&](const ControlHandlers& aHandlers) {
      aHandlers.mOnPull(std::move(message), std::move(reply));
    });
    return reactor;
  }

private:
  GuardedHandlers& mHandlers;
};

/// Decodes handover batches and passes them to ControlHandlers::mOnHandover.
class HandoverService : public peer::Handover::CallbackService
{
public:
  explicit HandoverService(GuardedHandlers& aHandlers)
    : mHandlers(aHandlers)
  {
  }

  ServerUnaryReactor* TakeOver(
    CallbackServerContext* aContext,
    const peer::TrafficEnvelope* aRequest,
    peer::HandoverAcknowledgement* aResponse) override
  {
    protocol::TrafficEnvelope envelope;
    if (!protocol::FromWire(*aRequest, envelope)) {
      return FinishWith(aContext, kMalformed);
    }
    auto* batch = std::get_if<coordination::HandoverBatch>(&envelope.mMessage);
    if (batch == nullptr) {
      return FinishWith(aContext, kMalformed);
    }
    auto* reactor = aContext->DefaultReactor();
    auto reply = MakeReply<coordination::HandoverAcknowledgement>(
      reactor, aResponse, [](const auto& aMessage, auto& aWireMessage) {
        aWireMessage.set_batch(aMessage.mBatch);
      });
    mHandlers.RunUnlessClosed([&](const ControlHandlers& aHandlers) {
      aHandlers.mOnHandover(
        envelope.mSender, std::move(*batch), std::move(reply));
    });
    return reactor;
  }

private:
  GuardedHandlers& mHandlers;
};

/// Serves the requests of operators: dump, counters and planned stop.
class OperatorService : public peer::Operator::CallbackService
{
public:
  explicit OperatorService(GuardedHandlers& aHandlers)
    : mHandlers(aHandlers)
  {
  }

  ServerUnaryReactor* Dump(CallbackServerContext* aContext,
                           const peer::Empty* /*aRequest*/,
                           peer::Text* aResponse) override
  {
    return ReplyWithText(aContext, aResponse, &ControlHandlers::mOnDump);
  }

  ServerUnaryReactor* Counters(CallbackServerContext* aContext,
                               const peer::Empty* /*aRequest*/,
                               peer::Text* aResponse) override
  {
    return ReplyWithText(aContext, aResponse, &ControlHandlers::mOnCounters);
  }

  ServerUnaryReactor* Drain(CallbackServerContext* aContext,
                            const peer::Empty* /*aRequest*/,
                            peer::Empty* /*aResponse*/) override
  {
    mHandlers.RunUnlessClosed(
      [](const ControlHandlers& aHandlers) { aHandlers.mOnDrain(); });
    return FinishWith(aContext, grpc::Status::OK);
  }

private:
  /// Runs a handler whose reply is a text.
  ServerUnaryReactor* ReplyWithText(
    CallbackServerContext* aContext,
    peer::Text* aResponse,
    std::function<void(ReplyCallback<std::string>)> ControlHandlers::*aHandler)
  {
    auto* reactor = aContext->DefaultReactor();
    auto reply = MakeReply<std::string>(
      reactor, aResponse, [](const auto& aText, auto& aWireMessage) {
        aWireMessage.set_text(aText);
      });
    mHandlers.RunUnlessClosed([&](const ControlHandlers& aHandlers) {
      (aHandlers.*aHandler)(std::move(reply));
    });
    return reactor;
  }

  GuardedHandlers& mHandlers;
};

} // namespace

struct ControlServer::Impl
{
  explicit Impl(ControlHandlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
  }

  GuardedHandlers mHandlers;
  SyncService mSync{ mHandlers };
  HandoverService mHandover{ mHandlers };
  OperatorService mOperator{ mHandlers };
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
  // Otherwise two processes could listen on the same port without an error.
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
  mImpl->mHandlers.Close();
}

} // namespace sassafrasknot::transport
