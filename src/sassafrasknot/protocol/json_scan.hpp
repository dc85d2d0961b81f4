#ifndef SASSAFRASKNOT_PROTOCOL_JSON_SCAN_HPP
#define SASSAFRASKNOT_PROTOCOL_JSON_SCAN_HPP

#include "sassafrasknot/state/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

namespace sassafrasknot::protocol {

/// @brief Where parts of a JSON text are; boost::json::value keeps neither
/// repeated members nor the text of its parts.
struct JsonScan
{
  /// Places of members that repeat an earlier one of the same object, such as
  /// "services/0/name".
  std::vector<std::string> mRepeated;
  /// Text of each records/N/value, in order of N; empty where there is none.
  std::vector<std::string> mValues;
};

/// @brief Parses a JSON text strictly (RFC 8259) into a tree and a scan.
/// @param aText the text
/// @param aMaximumBytes longest text that is read, in bytes
/// @param aMaximumDepth deepest nesting that is read
/// @param aScan receives the scan
/// @return the tree, or Malformed with the line and column of the fault
state::Result<boost::json::value>
ParseJson(std::string_view aText,
          std::size_t aMaximumBytes,
          std::size_t aMaximumDepth,
          JsonScan& aScan);

/// @brief Makes a Malformed error.
/// @param aPlace path of the faulty part; empty for the whole document
/// @param aMessage what is allowed there
/// @return the error, its message "PLACE: MESSAGE"
state::Error
MalformedAt(std::string_view aPlace, std::string_view aMessage);

} // namespace sassafrasknot::protocol

#endif
