#ifndef SASSAFRASKNOT_TRANSPORT_GRPC_STATUS_HPP
#define SASSAFRASKNOT_TRANSPORT_GRPC_STATUS_HPP

#include "sassafrasknot/state/error.hpp"

#include <grpcpp/support/status.h>

namespace sassafrasknot::transport {

/// Maximum size of a received message, in bytes. Several values of the platform
/// (1 MB each) fit, and a hostile message cannot exhaust the 256 MB of memory
/// that the control plane has.
constexpr int kMaxGrpcMessageBytes = 16 << 20;

/// Converts an error to the status that ends an RPC on the server: malformed
/// and invalid requests to INVALID_ARGUMENT, all others to UNAVAILABLE.
inline grpc::Status
ToStatus(const state::Error& aError)
{
  const auto code = aError.mCode == state::ErrorCode::Malformed ||
                        aError.mCode == state::ErrorCode::InvalidArgument
                      ? grpc::StatusCode::INVALID_ARGUMENT
                      : grpc::StatusCode::UNAVAILABLE;
  return { code, aError.mMessage };
}

/// Converts the status of a failed RPC to an error on the client. The request
/// may have been executed, so that the verdict is MayHaveRun.
inline state::Error
ToError(const grpc::Status& aStatus)
{
  const auto code = aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED
                      ? state::ErrorCode::DeadlineExceeded
                      : state::ErrorCode::Unavailable;
  return { code, state::Verdict::MayHaveRun, aStatus.error_message() };
}

} // namespace sassafrasknot::transport

#endif
