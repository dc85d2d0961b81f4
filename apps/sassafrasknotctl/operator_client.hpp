#ifndef SASSAFRASKNOTCTL_OPERATOR_CLIENT_HPP
#define SASSAFRASKNOTCTL_OPERATOR_CLIENT_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"

#include <chrono>
#include <string>

namespace sassafrasknotctl {

/// @brief Calls of an instance's gRPC service Operator.
enum class OperatorCall
{
  Dump,     ///< State of the process as JSON.
  Counters, ///< Counters in the Prometheus text format.
  Drain,    ///< Starts a planned stop; the response is empty.
};

/// @brief Calls an instance's gRPC service Operator.
/// @param aInstance control endpoint of the instance
/// @param aCall call to make
/// @param aTimeout deadline of the call
/// @return the text of the response; DeadlineExceeded after the timeout;
/// Unavailable after any other failure
sassafrasknot::state::Result<std::string>
CallOperator(const sassafrasknot::state::Endpoint& aInstance,
             OperatorCall aCall,
             std::chrono::milliseconds aTimeout);

} // namespace sassafrasknotctl

#endif
