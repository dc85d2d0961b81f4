#include "operator_client.hpp"

#include "sassafrasknot/protocol/generated/peer.grpc.pb.h"

#include <grpcpp/create_channel.h>

namespace sassafrasknotctl {

namespace peer = sassafrasknot::peer;
namespace state = sassafrasknot::state;

state::Result<std::string>
CallOperator(const state::Endpoint& aInstance,
             OperatorCall aCall,
             std::chrono::milliseconds aTimeout)
{
  const auto stub = peer::Operator::NewStub(grpc::CreateChannel(
    state::ToString(aInstance), grpc::InsecureChannelCredentials()));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + aTimeout);
  const peer::Empty request;
  peer::Text text;
  peer::Empty empty;
  grpc::Status status;
  switch (aCall) {
    case OperatorCall::Dump:
      status = stub->Dump(&context, request, &text);
      break;
    case OperatorCall::Counters:
      status = stub->Counters(&context, request, &text);
      break;
    case OperatorCall::Drain:
      status = stub->Drain(&context, request, &empty);
      break;
  }
  if (!status.ok()) {
    const bool timedOut = status.error_code() == grpc::DEADLINE_EXCEEDED;
    return state::Error{ timedOut ? state::ErrorCode::DeadlineExceeded
                                  : state::ErrorCode::Unavailable,
                         state::Verdict::MayHaveRun,
                         state::ToString(aInstance) + ": " +
                           status.error_message() };
  }
  return text.text();
}

} // namespace sassafrasknotctl
