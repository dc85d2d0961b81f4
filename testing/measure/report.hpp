#ifndef SASSAFRASKNOT_TESTING_MEASURE_REPORT_HPP
#define SASSAFRASKNOT_TESTING_MEASURE_REPORT_HPP

#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasknot::measure {

/// @brief One result: labels that say what was run, and measured values, each
/// with the title of its column.
struct Row
{
  std::vector<std::pair<std::string, std::string>> mLabels;
  std::vector<std::pair<std::string, double>> mValues;
};

/// @brief Results of one scenario; all rows have the same columns.
struct Report
{
  std::string mScenario;
  std::vector<Row> mRows;
};

/// @brief Writes a report as a table with aligned columns; nothing if it has no
/// rows.
/// @param aOut stream that receives the text
/// @param aReport results of one scenario
void
WriteTable(std::ostream& aOut, const Report& aReport);

/// @brief Writes results as a JSON object: the seed and one array per scenario
/// with one object per row.
/// @param aOut stream that receives the text
/// @param aReports results of all scenarios
/// @param aSeed seed of the runs
void
WriteJson(std::ostream& aOut,
          const std::vector<Report>& aReports,
          unsigned long long aSeed);

} // namespace sassafrasknot::measure

#endif
