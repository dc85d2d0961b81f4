#ifndef SASSAFRASKNOT_STATE_RANGES_HPP
#define SASSAFRASKNOT_STATE_RANGES_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sassafrasknot::state {

/// @brief A range of allowed numbers; includes both limits.
template<typename T>
struct Range
{
  T mLowest;
  T mHighest;

  constexpr bool Contains(T aValue) const
  {
    return aValue >= mLowest && aValue <= mHighest;
  }
};

constexpr Range<std::uint64_t> kPortRange{ 1, 65535 };
constexpr Range<std::uint64_t> kSlotsRange{ 1, 10000 };
constexpr Range<std::uint64_t> kConnectionsRange{ 1, 1000000 };
constexpr Range<std::uint64_t> kShardsRange{ 1, 64 };
constexpr Range<std::uint64_t> kQueueDeadlineMsRange{ 1, 600000 };
constexpr Range<std::uint64_t> kSlowStartMsRange{ 0, 600000 };
constexpr Range<std::uint64_t> kKeepaliveMsRange{ 1000, 3600000 };
constexpr Range<double> kWeightRange{ 0.001, 1000 };
constexpr Range<double> kQueuePerSlotRange{ 0, 1000 };
/// Range of ServiceLimits::mLongShare and ServiceLimits::mEjectedShare.
constexpr Range<double> kShareRange{ 0, 1 };

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxServicesPerOrganisation = 64;
constexpr std::size_t kMaxListenersPerService = 64;
constexpr std::size_t kMaxUpstreamsPerService = 4096;
constexpr std::size_t kMaxInstancesPerDataCentre = 1024;
constexpr std::size_t kMaxUpstreamsPerDataCentre = 16384;

/// Format of names, for messages.
constexpr std::string_view kNameRule =
  "1 to 63 characters of a-z, 0-9 and '-', first and last no '-'";

/// @brief Returns whether a text is a valid name of an organisation, template,
/// service, instance or data centre (kNameRule).
/// @param aName text to check
/// @return true if it is valid
bool
IsName(std::string_view aName);

/// @brief Formats a range of integers for a message.
/// @param aRange range to format
/// @return text such as "1 to 65535"
std::string
ToString(const Range<std::uint64_t>& aRange);

/// @brief Formats a range of floating-point numbers for a message.
/// @param aRange range to format
/// @return text such as "0.001 to 1000"
std::string
ToString(const Range<double>& aRange);

} // namespace sassafrasknot::state

#endif
