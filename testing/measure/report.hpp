#ifndef SASSAFRASKNOT_TESTING_MEASURE_REPORT_HPP
#define SASSAFRASKNOT_TESTING_MEASURE_REPORT_HPP

#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasknot::measure {

/// @brief One result: what was run and the values measured.
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

/// @brief Writes a table with aligned columns.
/// @param aOut receives the text
/// @param aReport the results
void
WriteTable(std::ostream& aOut, const Report& aReport);

/// @brief Writes results as a JSON object with one array per scenario.
/// @param aOut receives the text
/// @param aReports the results
/// @param aSeed seed of the runs
void
WriteJson(std::ostream& aOut,
          const std::vector<Report>& aReports,
          unsigned long long aSeed);

} // namespace sassafrasknot::measure

#endif
