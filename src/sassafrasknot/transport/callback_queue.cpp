#include "callback_queue.hpp"

#include "sassafrasknot/protocol/generated/peer.grpc.pb.h"

#include <chrono>
#include <memory>

#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>

namespace sassafrasknot::transport {
namespace {

/// A call whose deadline has passed before it starts. Starting it makes its
/// channel take a reference to the callback queue, which the channel keeps.
struct ExpiredCall
{
  std::unique_ptr<peer::Operator::Stub> mStub = peer::Operator::NewStub(
    grpc::CreateChannel("127.0.0.1:1", // No connection is made.
                        grpc::InsecureChannelCredentials()));
  grpc::ClientContext mContext;
  peer::Empty mRequest;
  peer::Text mResponse;
};

ExpiredCall*
StartExpiredCall()
{
  auto* call = new ExpiredCall;
  call->mContext.set_deadline(std::chrono::system_clock::now());
  call->mStub->async()->Dump(&call->mContext,
                             &call->mRequest,
                             &call->mResponse,
                             [](const grpc::Status&) {});
  return call;
}

} // namespace

void
KeepCallbackQueue()
{
  // Deliberately leaked, since the queue must outlive all static objects.
  [[maybe_unused]] static const ExpiredCall* call = StartExpiredCall();
}

} // namespace sassafrasknot::transport
