#ifndef SASSAFRASKNOT_REVIEW_RECORD_HPP
#define SASSAFRASKNOT_REVIEW_RECORD_HPP

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include "net.hpp"

namespace review {

/// Ports of all machines of a deployment, and of callers.
constexpr std::uint16_t kTrafficPort = 8172;
constexpr std::uint16_t kReadinessPort = 8167;
constexpr std::uint16_t kAdminPort = 8166;
constexpr std::uint16_t kFleetPort = 7720;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kTargetPort = 9000;

/// @brief The file that tells what was sent, answered and run, and the broken
/// rules.
class Record
{
public:
  explicit Record(const std::string& aPath);
  /// @brief Writes a line with the time since the start.
  void Line(const std::string& aText);
  /// @brief Writes a line for a broken rule and counts it.
  void Violation(const std::string& aRule, const std::string& aText);
  /// @brief Returns how often rules were broken.
  int Violations() const;

private:
  std::ofstream mFile;
  Clock::time_point mStart = Clock::now();
  int mViolations = 0;
};

} // namespace review

#endif
