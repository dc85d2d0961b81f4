#include "sassafrasknot/state/configuration_check.hpp"

#include <functional>

#include <gmock/gmock.h>

namespace sassafrasknot::state {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;
using testing::IsEmpty;

/// Documents without findings: one service with a work and a long listener and
/// two upstreams.
DocumentSet
MakeDocuments()
{
  TemplateService service;
  service.mName = "web";
  service.mListeners = {
    { 443, 8443, TransportProtocol::Tcp, FlowClass::Work, milliseconds(1000) },
    { 444, 8444, TransportProtocol::Tcp, FlowClass::Long, milliseconds(1000) }
  };
  service.mSlots = 2;
  service.mConnections = 2000;
  ServiceParameters parameters;
  parameters.mName = "web";
  parameters.mAddress = { 0x7F010001 };
  parameters.mUpstreams = {
    { { 0x7F020001 }, { "dc1" }, std::nullopt, std::nullopt, {} },
    { { 0x7F020002 }, { "dc1" }, std::nullopt, std::nullopt, {} }
  };
  DocumentSet set;
  AddDocument(set, TemplateDocument{ { "t" }, { service } });
  AddDocument(set, OrganisationDocument{ { "a" }, { "t" }, 1, { parameters } });
  AddDocument(
    set,
    InstanceListDocument{
      { "dc1" }, { { { "i" }, { { 1 }, 7000 }, { { 1 }, 7001 }, {} } } });
  return set;
}

std::vector<CheckFinding>
Check(const DocumentSet& aSet)
{
  return CheckDocuments(aSet, RenderSet(aSet));
}

// Guards against findings in documents that are in order, which would make the
// exit status useless.
TEST(CheckDocuments, FindsNothingInUsualDocuments)
{
  EXPECT_THAT(Check(MakeDocuments()), IsEmpty());
  // Without a queue, waiting is not configured, so nothing contradicts it.
  auto set = MakeDocuments();
  set.mTemplates.at({ "t" }).mServices[0].mLimits.mQueuePerSlot = 0;
  EXPECT_THAT(Check(set), IsEmpty());
}

// Guards against entries without effect and contradicting limits that are sent
// unnoticed, and against findings at another place than that of the cause.
TEST(CheckDocuments, FindsUselessAndContradictingEntries)
{
  struct Row
  {
    std::function<void(DocumentSet&)> mChange;
    CheckKind mKind;
    std::string mKey;
    std::string mLocation;
    std::string mMessage;
  };
  const auto service = [](DocumentSet& aSet) -> TemplateService& {
    return aSet.mTemplates.at({ "t" }).mServices.at(0);
  };
  const auto upstreams =
    [](DocumentSet& aSet) -> std::vector<UpstreamParameters>& {
    return aSet.mOrganisations.at({ "a" }).mServices.at(0).mUpstreams;
  };
  const std::string a = "organisations/a";
  const Row rows[] = {
    { [](auto& aSet) { aSet.mTemplates[{ "u" }].mId = { "u" }; },
      CheckKind::NeverMatches,
      "templates/u",
      "document",
      "no organisation" },
    { [&](auto& aSet) { upstreams(aSet).clear(); },
      CheckKind::NeverMatches,
      a,
      "services/web/upstreams",
      "has no upstreams" },
    { [&](auto& aSet) {
       for (auto& upstream : upstreams(aSet)) {
         upstream.mState = UpstreamState::Leaving;
       }
     },
      CheckKind::NeverMatches,
      a,
      "services/web/upstreams",
      "all upstreams are leaving" },
    { [](auto& aSet) { aSet.mInstances.at({ "dc1" }).mInstances.clear(); },
      CheckKind::NeverMatches,
      a,
      "services/web/upstreams",
      "have no owner" },
    { [](auto& aSet) {
       AddDocument(
         aSet,
         UpstreamListDocument{
           { "dc2" }, { { { 0x7F020001 }, UpstreamState::Leaving } } });
     },
      CheckKind::NeverMatches,
      "upstreams/dc2",
      "upstreams/127.2.0.1/state",
      "data centre dc1" },
    { [&](auto& aSet) { service(aSet).mShards = 3; },
      CheckKind::NeverMatches,
      a,
      "services/web/shards",
      "1 of 3 shards" },
    { [&](auto& aSet) { service(aSet).mLimits.mLongShare = 0; },
      CheckKind::Contradiction,
      a,
      "services/web/limits/long_share",
      "are refused" },
    { [&](auto& aSet) { service(aSet).mLimits.mQueuePerSlot = 0.2; },
      CheckKind::Contradiction,
      a,
      "services/web/limits/queue_per_slot",
      "4 slots" },
    { [&](auto& aSet) { service(aSet).mLimits.mLongShare = 0.01; },
      CheckKind::Contradiction,
      a,
      "services/web/limits/long_share",
      "never queued" },
    { [&](auto& aSet) { service(aSet).mShards = 0; },
      CheckKind::Error,
      a,
      "services/web/shards",
      "must be from" },
  };
  for (const auto& row : rows) {
    auto set = MakeDocuments();
    row.mChange(set);
    const auto findings = Check(set);
    ASSERT_EQ(findings.size(), 1U) << row.mLocation << ' ' << row.mMessage;
    const auto& [kind, finding] = findings.front();
    EXPECT_EQ(ToString(kind), ToString(row.mKind));
    EXPECT_EQ(finding.mKey, row.mKey);
    EXPECT_EQ(finding.mFinding.mLocation, row.mLocation);
    EXPECT_THAT(finding.mFinding.mMessage, HasSubstr(row.mMessage));
  }
}

} // namespace
} // namespace sassafrasknot::state
