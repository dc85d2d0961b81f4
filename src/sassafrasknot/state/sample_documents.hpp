#ifndef SASSAFRASKNOT_STATE_SAMPLE_DOCUMENTS_HPP
#define SASSAFRASKNOT_STATE_SAMPLE_DOCUMENTS_HPP

#include "sassafrasknot/state/document.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

/// @brief Documents for tests and measurements.
namespace sassafrasknot::state::sample {

/// A record with a decoded document and the text "{}".
inline ConfigurationRecord
MakeRecord(std::string aKey, Revision aRevision, Document aDocument)
{
  return { std::move(aKey),
           aRevision,
           false,
           "{}",
           std::make_shared<const Document>(std::move(aDocument)) };
}

/// The record of a deleted key.
inline ConfigurationRecord
MakeTombstone(std::string aKey, Revision aRevision)
{
  return { std::move(aKey), aRevision, true, {}, nullptr };
}

/// A template "common" with one service "web" that listens on port 80 and uses
/// port aUpstreamPort of its upstreams.
inline ConfigurationRecord
MakeTemplate(Revision aRevision, std::uint16_t aUpstreamPort = 8080)
{
  TemplateService service;
  service.mName = "web";
  service.mListeners = { { 80, aUpstreamPort } };
  service.mSlots = 2;
  service.mConnections = 2000;
  return MakeRecord("templates/common",
                    aRevision,
                    TemplateDocument{ { "common" }, { service } });
}

/// An organisation with the service "web" at 10.1.0.aAddress and, in data
/// centre aDataCentre, one upstream 10.2.0.N for each number in aUpstreams.
inline ConfigurationRecord
MakeOrganisation(const std::string& aName,
                 Revision aRevision,
                 std::uint32_t aAddress,
                 const std::vector<std::uint32_t>& aUpstreams,
                 const std::string& aDataCentre = "dc-0")
{
  ServiceParameters service;
  service.mName = "web";
  service.mAddress = { 0x0A010000 + aAddress };
  for (const auto upstream : aUpstreams) {
    service.mUpstreams.push_back({ { 0x0A020000 + upstream },
                                   { aDataCentre },
                                   std::nullopt,
                                   std::nullopt,
                                   UpstreamState::Live });
  }
  return MakeRecord(
    "organisations/" + aName,
    aRevision,
    OrganisationDocument{ { aName }, { "common" }, 1.0, { service } });
}

/// An organisation without parameters for the service of its template, which
/// makes it invalid.
inline ConfigurationRecord
MakeInvalidOrganisation(const std::string& aName, Revision aRevision)
{
  return MakeRecord("organisations/" + aName,
                    aRevision,
                    OrganisationDocument{ { aName }, { "common" }, 1.0, {} });
}

} // namespace sassafrasknot::state::sample

#endif
