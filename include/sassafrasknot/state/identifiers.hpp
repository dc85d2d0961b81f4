#ifndef SASSAFRASKNOT_STATE_IDENTIFIERS_HPP
#define SASSAFRASKNOT_STATE_IDENTIFIERS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace sassafrasknot::state {

/// @brief A name whose type says what it names.
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

/// @brief A shard: one part of a service's upstreams in all data centres.
struct ShardId
{
  ServiceId mService;
  std::uint32_t mIndex = 0;

  auto operator<=>(const ShardId&) const = default;
};

/// @brief The platform's counter of changes; a higher one is newer.
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
