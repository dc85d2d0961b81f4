#include "report.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <sstream>

#include <boost/json/src.hpp>

namespace sassafrasknot::measure {
namespace {

/// Returns the labels and values of a row as text, values with three decimals.
std::vector<std::string>
Cells(const Row& aRow)
{
  std::vector<std::string> cells;
  for (const auto& [name, text] : aRow.mLabels) {
    cells.push_back(text);
  }
  for (const auto& [name, value] : aRow.mValues) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << value;
    cells.push_back(text.str());
  }
  return cells;
}

/// Returns the titles of the columns of a row.
std::vector<std::string>
Titles(const Row& aRow)
{
  std::vector<std::string> titles;
  for (const auto& label : aRow.mLabels) {
    titles.push_back(label.first);
  }
  for (const auto& value : aRow.mValues) {
    titles.push_back(value.first);
  }
  return titles;
}

} // namespace

void
WriteTable(std::ostream& aOut, const Report& aReport)
{
  if (aReport.mRows.empty()) {
    return;
  }
  std::vector<std::vector<std::string>> lines{ Titles(aReport.mRows[0]) };
  for (const auto& row : aReport.mRows) {
    lines.push_back(Cells(row));
  }
  std::vector<std::size_t> widths(lines[0].size());
  for (const auto& line : lines) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], line[column].size());
    }
  }
  aOut << aReport.mScenario << '\n';
  for (const auto& line : lines) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      aOut << "  " << std::setw(static_cast<int>(widths[column]))
           << line[column];
    }
    aOut << '\n';
  }
  aOut << '\n';
}

void
WriteJson(std::ostream& aOut,
          const std::vector<Report>& aReports,
          unsigned long long aSeed)
{
  boost::json::object document;
  document["seed"] = aSeed;
  for (const auto& report : aReports) {
    boost::json::array rows;
    for (const auto& row : report.mRows) {
      boost::json::object object;
      for (const auto& [name, text] : row.mLabels) {
        object[name] = text;
      }
      for (const auto& [name, value] : row.mValues) {
        object[name] = value;
      }
      rows.push_back(std::move(object));
    }
    document[report.mScenario] = std::move(rows);
  }
  aOut << boost::json::serialize(document) << '\n';
}

} // namespace sassafrasknot::measure
