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

/// @brief A service in a template, without address and upstreams.
struct TemplateService
{
  std::string mName;
  std::vector<Listener> mListeners;
  /// Default slots and connections of upstreams that don't set their own.
  std::uint32_t mSlots = 1;
  std::uint32_t mConnections = 1;
  std::uint32_t mShards = 1;
  ServiceLimits mLimits;

  auto operator<=>(const TemplateService&) const = default;
};

/// @brief Services and defaults shared by all organisations that use a
/// template.
struct TemplateDocument
{
  TemplateId mId;
  std::vector<TemplateService> mServices;

  auto operator<=>(const TemplateDocument&) const = default;
};

/// @brief An upstream in an organisation's document; absent values are those of
/// the template.
struct UpstreamParameters
{
  Ipv4Address mAddress;
  DataCentreId mDataCentre;
  std::optional<std::uint32_t> mSlots;
  std::optional<std::uint32_t> mConnections;
  UpstreamState mState = UpstreamState::Live;

  auto operator<=>(const UpstreamParameters&) const = default;
};

/// @brief An organisation's parameters for one service of its template; absent
/// values are those of the template.
struct ServiceParameters
{
  std::string mName;
  Ipv4Address mAddress;
  std::vector<UpstreamParameters> mUpstreams;
  std::optional<std::uint32_t> mShards;
  std::optional<ServiceLimits> mLimits;

  auto operator<=>(const ServiceParameters&) const = default;
};

/// @brief An organisation's document: the name of its template and the
/// parameters of the services.
struct OrganisationDocument
{
  OrganisationId mId;
  TemplateId mTemplate;
  double mWeight = 1.0;
  std::vector<ServiceParameters> mServices;

  auto operator<=>(const OrganisationDocument&) const = default;
};

/// @brief An instance in the published list, which may be out of date.
struct ListedInstance
{
  InstanceId mId;
  Endpoint mPeerEndpoint;
  Endpoint mControlEndpoint;
  InstanceState mState = InstanceState::Live;

  auto operator<=>(const ListedInstance&) const = default;
};

/// @brief The platform's published list of one data centre's instances.
struct InstanceListDocument
{
  DataCentreId mDataCentre;
  std::vector<ListedInstance> mInstances;

  auto operator<=>(const InstanceListDocument&) const = default;
};

/// @brief An upstream in the published list, which may be out of date.
struct ListedUpstream
{
  Ipv4Address mAddress;
  UpstreamState mState = UpstreamState::Live;

  auto operator<=>(const ListedUpstream&) const = default;
};

/// @brief The platform's published list of one data centre's upstreams.
struct UpstreamListDocument
{
  DataCentreId mDataCentre;
  std::vector<ListedUpstream> mUpstreams;

  auto operator<=>(const UpstreamListDocument&) const = default;
};

/// @brief A decoded value of the platform's configuration service.
using Document = std::variant<TemplateDocument,
                              OrganisationDocument,
                              InstanceListDocument,
                              UpstreamListDocument>;

/// @brief State of a key of the platform's configuration service at one
/// revision.
struct ConfigurationRecord
{
  /// "templates/NAME", "organisations/NAME", "instances/DC" or "upstreams/DC".
  std::string mKey;
  /// Revision of the last change of this key.
  Revision mRevision = 0;
  bool mDeleted = false;
  /// The value as published by the platform (JSON); empty if deleted.
  std::string mText;
  /// The decoded value; null if deleted or if mText is malformed.
  std::shared_ptr<const Document> mDocument;
};

} // namespace sassafrasknot::state

#endif
