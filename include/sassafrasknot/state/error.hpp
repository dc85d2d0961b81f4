#ifndef SASSAFRASKNOT_STATE_ERROR_HPP
#define SASSAFRASKNOT_STATE_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/outcome/result.hpp>

namespace sassafrasknot::state {

/// @brief Whether a failed request may have been executed by an upstream.
enum class Verdict : std::uint8_t
{
  NotRun,     ///< No byte of the request reached an upstream.
  MayHaveRun, ///< Payload was forwarded, and no answer was observed.
  Answered,   ///< The upstream answered.
};

/// @brief Kind of a failure.
enum class ErrorCode : std::uint8_t
{
  InvalidArgument,
  NotFound,
  Malformed,
  Conflict,
  Overloaded,
  Unavailable,
  DeadlineExceeded,
  TooLarge,
};

/// @brief A failure with its verdict and a message for operators.
struct Error
{
  ErrorCode mCode = ErrorCode::InvalidArgument;
  Verdict mVerdict = Verdict::NotRun;
  std::string mMessage;
};

/// @brief Either a value or an Error. Reading the value of a failed result
/// ends the process.
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// @brief Returns the name of a verdict as used in logs and dumps.
/// @param aVerdict verdict to name
/// @return "not-run", "may-have-run" or "answered"
std::string_view
ToString(Verdict aVerdict);

/// @brief Returns the name of an error code as used in logs and dumps.
/// @param aCode error code to name
/// @return a lower-case name with hyphens, such as "not-found"
std::string_view
ToString(ErrorCode aCode);

} // namespace sassafrasknot::state

#endif
