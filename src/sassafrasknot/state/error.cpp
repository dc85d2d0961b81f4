#include "sassafrasknot/state/error.hpp"

namespace sassafrasknot::state {

std::string_view
ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::NotRun:
      return "not-run";
    case Verdict::MayHaveRun:
      return "may-have-run";
    case Verdict::Answered:
      return "answered";
  }
  return "unknown";
}

std::string_view
ToString(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidArgument:
      return "invalid-argument";
    case ErrorCode::NotFound:
      return "not-found";
    case ErrorCode::Malformed:
      return "malformed";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::Overloaded:
      return "overloaded";
    case ErrorCode::Unavailable:
      return "unavailable";
    case ErrorCode::DeadlineExceeded:
      return "deadline-exceeded";
    case ErrorCode::TooLarge:
      return "too-large";
  }
  return "unknown";
}

} // namespace sassafrasknot::state
