#include "sassafrasknot/state/render.hpp"
#include "sassafrasknot/state/validation.hpp"

#include <cmath>
#include <functional>
#include <limits>

#include <gmock/gmock.h>

namespace sassafrasknot::state {
namespace {

using std::chrono::milliseconds;

TemplateDocument
MakeTemplate()
{
  TemplateService service;
  service.mName = "scheduling";
  service.mListeners = {
    { 443, 8443, TransportProtocol::Tcp, FlowClass::Feed, milliseconds(1000) },
    { 444, 8444, TransportProtocol::Tcp, FlowClass::Work, milliseconds(2000) }
  };
  service.mSlots = 2;
  service.mConnections = 2000;
  return { { "workshop" }, { service } };
}

OrganisationDocument
MakeDocument()
{
  ServiceParameters service;
  service.mName = "scheduling";
  service.mAddress = { 0x7F010001 };
  service.mUpstreams = {
    { { 0x7F020001 }, { "dc1" }, std::nullopt, std::nullopt, {} },
    { { 0x7F020002 }, { "dc2" }, 3, 500, UpstreamState::Leaving }
  };
  return { { "org" }, { "workshop" }, 1.0, { service } };
}

// Guards against values of the template that override those of the
// organisation's document.
TEST(Render, UpstreamsGetTemplateValuesUnlessTheySetTheirOwn)
{
  const auto rendered = Render(MakeTemplate(), MakeDocument());
  ASSERT_TRUE(rendered.has_value());
  const auto& service = rendered.value().mServices.at(0);
  EXPECT_EQ(service.mListeners, MakeTemplate().mServices.at(0).mListeners);
  EXPECT_EQ(
    service.mUpstreams.at(0),
    (Upstream{ { 0x7F020001 }, { "dc1" }, 2, 2000, UpstreamState::Live }));
  EXPECT_EQ(
    service.mUpstreams.at(1),
    (Upstream{ { 0x7F020002 }, { "dc2" }, 3, 500, UpstreamState::Leaving }));
  EXPECT_TRUE(Validate(rendered.value()).empty());
}

// Guards against an organisation that is put in force although a service is
// missing in its document or in the template.
TEST(Render, RefusesServicesThatDoNotMatchTheTemplate)
{
  auto document = MakeDocument();
  document.mServices.at(0).mName = "intake";
  EXPECT_EQ(Render(MakeTemplate(), document).error().mCode,
            ErrorCode::NotFound);
  document.mServices.clear();
  EXPECT_EQ(Render(MakeTemplate(), document).error().mCode,
            ErrorCode::InvalidArgument);
}

// Guards against invalid organisations that are put in force. Each row violates
// one rule and expects exactly one error, at the location in the row.
TEST(Validate, ReportsTheLocationOfEachError)
{
  using Violation = std::function<void(Organisation&)>;
  const auto service = [](Organisation& aOrganisation) -> Service& {
    return aOrganisation.mServices.at(0);
  };
  const std::vector<std::pair<std::string, Violation>> rows = {
    { "name", [](auto& aOrg) { aOrg.mId.mValue = "Org"; } },
    { "weight", [](auto& aOrg) { aOrg.mWeight = 0; } },
    { "weight", [](auto& aOrg) { aOrg.mWeight = std::nan(""); } },
    { "services/-x/name", [&](auto& aOrg) { service(aOrg).mName = "-x"; } },
    { "services/scheduling/address",
      [&](auto& aOrg) { service(aOrg).mAddress = { 0xE0000001 }; } },
    { "services/scheduling/listeners",
      [&](auto& aOrg) { service(aOrg).mListeners.clear(); } },
    { "services/scheduling/listeners/1/port",
      [&](auto& aOrg) { service(aOrg).mListeners[1].mPort = 443; } },
    { "services/scheduling/listeners/1/upstream_port",
      [&](auto& aOrg) { service(aOrg).mListeners[1].mUpstreamPort = 8443; } },
    { "services/scheduling/listeners/0/queue_deadline_ms",
      [&](auto& aOrg) {
        service(aOrg).mListeners[0].mQueueDeadline = milliseconds(-1);
      } },
    { "services/scheduling/upstreams/1/address",
      [&](auto& aOrg) {
        service(aOrg).mUpstreams[1].mAddress =
          service(aOrg).mUpstreams[0].mAddress;
      } },
    { "services/scheduling/upstreams/0/address",
      [&](auto& aOrg) {
        service(aOrg).mUpstreams[0].mAddress = service(aOrg).mAddress;
      } },
    { "services/scheduling/upstreams/0/data_centre",
      [&](auto& aOrg) { service(aOrg).mUpstreams[0].mDataCentre = {}; } },
    { "services/scheduling/upstreams/0/slots",
      [&](auto& aOrg) { service(aOrg).mUpstreams[0].mSlots = 0; } },
    { "services/scheduling/upstreams/0/connections",
      [&](auto& aOrg) { service(aOrg).mUpstreams[0].mConnections = 1; } },
    { "services/scheduling/shards",
      [&](auto& aOrg) { service(aOrg).mShards = 65; } },
    { "services/scheduling/limits/long_share",
      [&](auto& aOrg) { service(aOrg).mLimits.mLongShare = 1.01; } },
    { "services/scheduling/limits/queue_per_slot",
      [&](auto& aOrg) {
        service(aOrg).mLimits.mQueuePerSlot =
          std::numeric_limits<double>::infinity();
      } },
    { "services/scheduling/limits/keepalive_ms",
      [&](auto& aOrg) {
        service(aOrg).mLimits.mKeepaliveInterval = milliseconds(1);
      } },
  };
  for (const auto& [location, violateRule] : rows) {
    auto organisation = Render(MakeTemplate(), MakeDocument()).value();
    violateRule(organisation);
    const auto findings = Validate(organisation);
    ASSERT_EQ(findings.size(), 1U) << location;
    EXPECT_EQ(findings[0].mLocation, location) << findings[0].mMessage;
  }
}

// Guards against two services with the same name or address in one
// organisation.
TEST(Validate, RefusesRepeatedServices)
{
  auto organisation = Render(MakeTemplate(), MakeDocument()).value();
  organisation.mServices.push_back(organisation.mServices.at(0));
  std::vector<std::string> locations;
  for (const auto& finding : Validate(organisation)) {
    locations.push_back(finding.mLocation);
  }
  EXPECT_THAT(locations,
              testing::ElementsAre("services/scheduling/name",
                                   "services/scheduling/address",
                                   "services/scheduling/upstreams/0/address",
                                   "services/scheduling/upstreams/1/address"));
}

// Guards against endpoints that are missing in the list of claims, so that two
// organisations could use them without a conflict.
TEST(ClaimedEndpoints, ListsServiceAndUpstreamEndpointsInOrder)
{
  const auto organisation = Render(MakeTemplate(), MakeDocument()).value();
  EXPECT_THAT(ClaimedEndpoints(organisation),
              testing::ElementsAre(Endpoint{ { 0x7F010001 }, 443 },
                                   Endpoint{ { 0x7F010001 }, 444 },
                                   Endpoint{ { 0x7F020001 }, 8443 },
                                   Endpoint{ { 0x7F020001 }, 8444 },
                                   Endpoint{ { 0x7F020002 }, 8443 },
                                   Endpoint{ { 0x7F020002 }, 8444 }));
}

} // namespace
} // namespace sassafrasknot::state
