#ifndef SASSAFRASKNOT_STATE_DOCUMENT_HPP
#define SASSAFRASKNOT_STATE_DOCUMENT_HPP

#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/snapshot.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sassafrasknot::state {

/// @brief A service as a template describes it.
struct TemplateService
{
  std::string mName;
  std::vector<Listener> mListeners;
  /// Slots and connections of an upstream whose own are not given.
  std::uint32_t mSlots = 1;
  std::uint32_t mConnections = 1;
  std::uint32_t mShards = 1;
  ServiceLimits mLimits;

  auto operator<=>(const TemplateService&) const = default;
};

/// @brief What organisations of one kind have in common.
struct TemplateDocument
{
  TemplateId mId;
  std::vector<TemplateService> mServices;

  auto operator<=>(const TemplateDocument&) const = default;
};

/// @brief An upstream as an organisation lists it.
struct UpstreamParameters
{
  Ipv4Address mAddress;
  DataCentreId mDataCentre;
  std::optional<std::uint32_t> mSlots;
  std::optional<std::uint32_t> mConnections;
  UpstreamState mState = UpstreamState::Live;

  auto operator<=>(const UpstreamParameters&) const = default;
};

/// @brief An organisation's parameters for one service of its template.
struct ServiceParameters
{
  std::string mName;
  Ipv4Address mAddress;
  std::vector<UpstreamParameters> mUpstreams;
  std::optional<std::uint32_t> mShards;
  std::optional<ServiceLimits> mLimits;

  auto operator<=>(const ServiceParameters&) const = default;
};

/// @brief An organisation: a template and the parameters that fill it in.
struct OrganisationDocument
{
  OrganisationId mId;
  TemplateId mTemplate;
  double mWeight = 1.0;
  std::vector<ServiceParameters> mServices;

  auto operator<=>(const OrganisationDocument&) const = default;
};

/// @brief An instance as the published list shows it; the list lags.
struct ListedInstance
{
  InstanceId mId;
  Endpoint mPeerEndpoint;
  Endpoint mControlEndpoint;
  InstanceState mState = InstanceState::Live;

  auto operator<=>(const ListedInstance&) const = default;
};

/// @brief The published list of one data centre's instances.
struct InstanceListDocument
{
  DataCentreId mDataCentre;
  std::vector<ListedInstance> mInstances;

  auto operator<=>(const InstanceListDocument&) const = default;
};

/// @brief An upstream as the published list shows it; the list lags.
struct ListedUpstream
{
  Ipv4Address mAddress;
  UpstreamState mState = UpstreamState::Live;

  auto operator<=>(const ListedUpstream&) const = default;
};

/// @brief The published list of one data centre's upstreams.
struct UpstreamListDocument
{
  DataCentreId mDataCentre;
  std::vector<ListedUpstream> mUpstreams;

  auto operator<=>(const UpstreamListDocument&) const = default;
};

/// @brief A value of the platform's configuration service.
using Document = std::variant<TemplateDocument,
                              OrganisationDocument,
                              InstanceListDocument,
                              UpstreamListDocument>;

/// @brief A key of the platform's configuration service at one revision.
struct ConfigurationRecord
{
  /// "templates/NAME", "organisations/NAME", "instances/DC" or "upstreams/DC".
  std::string mKey;
  /// Revision of the last change of this key.
  Revision mRevision = 0;
  bool mDeleted = false;
  /// The value as the platform published it (JSON); empty when deleted.
  std::string mText;
  /// The decoded value; absent when deleted or when mText is malformed.
  std::shared_ptr<const Document> mDocument;
};

} // namespace sassafrasknot::state

#endif
