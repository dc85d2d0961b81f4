#ifndef SASSAFRASKNOT_TRANSPORT_GRPC_STATUS_HPP
#define SASSAFRASKNOT_TRANSPORT_GRPC_STATUS_HPP

#include "sassafrasknot/state/error.hpp"

#include <grpcpp/support/status.h>

namespace sassafrasknot::transport {

/// Largest message that either side takes, in bytes: several values of the
/// platform (1 MB each) fit, and a hostile one cannot exhaust the 256 MB that
/// the control plane has.
constexpr int kMaxGrpcMessageBytes = 16 << 20;

inline grpc::Status
ToStatus(const state::Error& aError)
{
  const auto code = aError.mCode == state::ErrorCode::Malformed ||
                        aError.mCode == state::ErrorCode::InvalidArgument
                      ? grpc::StatusCode::INVALID_ARGUMENT
                      : grpc::StatusCode::UNAVAILABLE;
  return { code, aError.mMessage };
}

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
