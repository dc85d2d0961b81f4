#ifndef SASSAFRASKNOT_STATE_ERROR_HPP
#define SASSAFRASKNOT_STATE_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/outcome/result.hpp>

namespace sassafrasknot::state {

/// @brief Says whether the request behind a failure may have run.
enum class Verdict : std::uint8_t
{
  NotRun,     ///< No byte of the request reached an upstream.
  MayHaveRun, ///< Payload was forwarded and no answer was seen.
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

/// @brief Returns the name of a verdict as logs and dumps show it.
/// @param aVerdict the verdict
/// @return "not-run", "may-have-run" or "answered"
std::string_view
ToString(Verdict aVerdict);

/// @brief Returns the name of an error code as logs and dumps show it.
/// @param aCode the code
/// @return a lower-case name with hyphens
std::string_view
ToString(ErrorCode aCode);

} // namespace sassafrasknot::state

#endif
