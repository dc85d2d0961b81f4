#ifndef SASSAFRASKNOT_PROTOCOL_JSON_PARSER_HPP
#define SASSAFRASKNOT_PROTOCOL_JSON_PARSER_HPP

#include "sassafrasknot/state/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

namespace sassafrasknot::protocol {

/// @brief Properties of a JSON text that boost::json::value does not preserve:
/// duplicate members and the text of its parts.
struct JsonSourceInfo
{
  /// Paths of members that have the name of an earlier member of the same
  /// object, such as "services/0/name".
  std::vector<std::string> mDuplicateMembers;
  /// Text of records/N/value at index N, without white space; empty or absent
  /// if the record has no value.
  std::vector<std::string> mRecordTexts;
};

/// @brief Parses a JSON text strictly (RFC 8259).
/// @param aText the text
/// @param aMaxBytes maximum size of the text, in bytes
/// @param aMaxDepth maximum nesting depth
/// @param aSourceInfo receives the properties that the returned value lacks
/// @return the value, or Malformed with the line and column of a syntax error
state::Result<boost::json::value>
ParseJson(std::string_view aText,
          std::size_t aMaxBytes,
          std::size_t aMaxDepth,
          JsonSourceInfo& aSourceInfo);

/// @brief Makes a Malformed error.
/// @param aLocation path of the malformed part; empty for the whole document
/// @param aMessage what is allowed there
/// @return an error with the message "LOCATION: MESSAGE", in which control
/// characters of the location are replaced by '?'
state::Error
MalformedAt(std::string_view aLocation, std::string_view aMessage);

} // namespace sassafrasknot::protocol

#endif
