#ifndef SASSAFRASKNOT_STATE_IDENTIFIERS_HPP
#define SASSAFRASKNOT_STATE_IDENTIFIERS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace sassafrasknot::state {

/// @brief A name with a type for each kind of object, so that identifiers of
/// different kinds can't be confused.
template<typename Tag>
struct Identifier
{
  std::string mValue;

  auto operator<=>(const Identifier&) const = default;
};

using OrganisationId = Identifier<struct OrganisationTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using InstanceId = Identifier<struct InstanceTag>;
using TemplateId = Identifier<struct TemplateTag>;

/// @brief A service, named within its organisation.
struct ServiceId
{
  OrganisationId mOrganisation;
  std::string mName;

  auto operator<=>(const ServiceId&) const = default;
};

/// @brief Identifies a shard: one of the disjoint parts that the upstreams of a
/// service are divided into, across all data centres. One instance owns it.
struct ShardId
{
  ServiceId mService;
  std::uint32_t mIndex = 0;

  auto operator<=>(const ShardId&) const = default;
};

/// @brief Number of a change of the platform's configuration; a higher one is
/// newer. A revision is in force on an instance once the instance applies it to
/// traffic.
using Revision = std::uint64_t;

} // namespace sassafrasknot::state

template<typename Tag>
struct std::hash<sassafrasknot::state::Identifier<Tag>>
{
  std::size_t operator()(
    const sassafrasknot::state::Identifier<Tag>& aIdentifier) const noexcept
  {
    return std::hash<std::string>{}(aIdentifier.mValue);
  }
};

#endif
