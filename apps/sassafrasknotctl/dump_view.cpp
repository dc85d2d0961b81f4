#include "dump_view.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <vector>

#include <boost/json.hpp>

namespace sassafrasknotctl {

namespace json = boost::json;
namespace state = sassafrasknot::state;

namespace {

// Returns whether a value is neither an object nor an array.
bool
IsPlain(const json::value& aValue)
{
  return !aValue.is_object() && !aValue.is_array();
}

// Formats a plain value; strings are written without quotes.
std::string
PlainText(const json::value& aValue)
{
  return aValue.is_string() ? json::value_to<std::string>(aValue)
                            : json::serialize(aValue);
}

// Returns whether an array is not empty and all its entries are objects of
// plain values with the same members.
bool
IsTable(const json::array& aArray)
{
  return !aArray.empty() &&
         std::ranges::all_of(aArray, [&](const json::value& aRow) {
           return aRow.is_object() &&
                  aRow.as_object().size() ==
                    aArray.front().as_object().size() &&
                  std::ranges::all_of(aRow.as_object(), [&](const auto& aCell) {
                    return IsPlain(aCell.value()) &&
                           aArray.front().as_object().contains(aCell.key());
                  });
         });
}

// Writes an array for which IsTable holds as columns of equal width.
void
WriteTable(std::ostream& aOutput, const json::array& aRows, int aIndent)
{
  std::vector<std::vector<std::string>> cells(1);
  for (const auto& column : aRows.front().as_object()) {
    cells.front().emplace_back(column.key());
  }
  const auto columns = cells.front();
  for (const auto& row : aRows) {
    auto& line = cells.emplace_back();
    for (const auto& column : columns) {
      line.push_back(PlainText(row.as_object().at(column)));
    }
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : cells) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : cells) {
    aOutput << std::string(aIndent, ' ');
    for (std::size_t i = 0; i < line.size(); ++i) {
      aOutput << std::left << std::setw(static_cast<int>(widths[i]) + 2)
              << line[i];
    }
    aOutput << '\n';
  }
}

// Writes a value with its name and, further indented, the values inside it.
void
Write(std::ostream& aOutput,
      std::string_view aName,
      const json::value& aValue,
      int aIndent)
{
  aOutput << std::string(aIndent, ' ') << aName << ':';
  if (IsPlain(aValue)) {
    aOutput << ' ' << PlainText(aValue) << '\n';
    return;
  }
  aOutput << '\n';
  if (aValue.is_object()) {
    for (const auto& member : aValue.as_object()) {
      Write(aOutput, member.key(), member.value(), aIndent + 2);
    }
  } else if (const auto& array = aValue.as_array(); IsTable(array)) {
    WriteTable(aOutput, array, aIndent + 2);
  } else {
    for (std::size_t i = 0; i < array.size(); ++i) {
      Write(aOutput, std::to_string(i), array[i], aIndent + 2);
    }
  }
}

} // namespace

state::Result<std::string>
DumpToText(std::string_view aDump)
{
  boost::system::error_code error;
  const auto value = json::parse(aDump, error);
  if (error || !value.is_object()) {
    return state::Error{ state::ErrorCode::Malformed,
                         state::Verdict::Answered,
                         "the dump is not a JSON object" };
  }
  std::ostringstream output;
  for (const auto& member : value.as_object()) {
    Write(output, member.key(), member.value(), 0);
  }
  return output.str();
}

} // namespace sassafrasknotctl
