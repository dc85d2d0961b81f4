#ifndef SASSAFRASKNOTCTL_OPERATOR_CLIENT_HPP
#define SASSAFRASKNOTCTL_OPERATOR_CLIENT_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"

#include <chrono>
#include <string>

namespace sassafrasknotctl {

/// @brief What an operator asks of an instance.
enum class OperatorCall
{
  Dump,     ///< State of the process as JSON.
  Counters, ///< Counters in the Prometheus text format.
  Drain,    ///< Begin a planned stop; gives an empty text.
};

/// @brief Calls an instance's gRPC service Operator.
/// @param aInstance its control endpoint
/// @param aCall what is asked
/// @param aTimeout longest wait
/// @return the text of the answer, DeadlineExceeded or Unavailable
sassafrasknot::state::Result<std::string>
CallOperator(const sassafrasknot::state::Endpoint& aInstance,
             OperatorCall aCall,
             std::chrono::milliseconds aTimeout);

} // namespace sassafrasknotctl

#endif
