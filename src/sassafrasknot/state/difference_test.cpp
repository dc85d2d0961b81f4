#include "sassafrasknot/state/difference.hpp"

#include <algorithm>
#include <random>

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::state {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using Organisations = std::map<OrganisationId, Organisation>;

Upstream
MakeUpstream(std::uint32_t aIndex, UpstreamState aState = UpstreamState::Live)
{
  return { { 0x7F140000 + aIndex }, { "dc1" }, 2, 2000, aState };
}

Organisation
MakeOrganisation(const std::string& aName, std::uint32_t aIndex)
{
  Service service;
  service.mName = "feed";
  service.mAddress = { 0x7F0A0000 + aIndex };
  service.mListeners = { { 443, 8443, TransportProtocol::Tcp, {}, {} } };
  service.mUpstreams = { MakeUpstream(aIndex * 10),
                         MakeUpstream(aIndex * 10 + 1) };
  return { { aName }, 1, { service } };
}

Organisations
MakeOrganisations()
{
  return { { { "a" }, MakeOrganisation("a", 1) },
           { { "b" }, MakeOrganisation("b", 2) } };
}

Service&
FirstService(Organisations& aOrganisations, const std::string& aName)
{
  return aOrganisations.at({ aName }).mServices.at(0);
}

std::vector<std::string>
Kinds(const Difference& aDifference, bool aOnlyUnsafe)
{
  std::vector<std::string> kinds;
  for (const auto& change : aDifference.mChanges) {
    if (!aOnlyUnsafe || !change.mUnsafeReason.empty()) {
      kinds.emplace_back(ToString(change.mKind));
    }
  }
  return kinds;
}

// Guards against a drain or its reversal that is reported as unsafe: a drain is
// the first step of each safe removal.
TEST(Difference, DrainAndReturnAreSafeInBothDirections)
{
  const auto old = MakeOrganisations();
  auto changed = old;
  FirstService(changed, "a").mUpstreams[0].mState = UpstreamState::Leaving;
  EXPECT_THAT(Kinds(CompareOrganisations(old, changed), false),
              ElementsAre("upstream-drained"));
  EXPECT_THAT(Kinds(CompareOrganisations(changed, old), false),
              ElementsAre("upstream-returned"));
  EXPECT_THAT(Kinds(CompareOrganisations(changed, old), true), IsEmpty());
}

// Guards against the removal of an upstream that still receives new flows,
// which must be reported as unsafe. The addition and the removal after a drain
// are safe.
TEST(Difference, RemovalNeedsADrainFirst)
{
  const auto old = MakeOrganisations();
  auto changed = old;
  FirstService(changed, "a").mUpstreams.pop_back();
  EXPECT_THAT(Kinds(CompareOrganisations(old, changed), true),
              ElementsAre("upstream-removed"));
  EXPECT_THAT(Kinds(CompareOrganisations(changed, old), true), IsEmpty());
  auto drained = old;
  FirstService(drained, "a").mUpstreams[1].mState = UpstreamState::Leaving;
  EXPECT_THAT(Kinds(CompareOrganisations(drained, changed), true), IsEmpty());
}

// Guards against packets that reach the service of another organisation because
// an address moved while flows still used it.
TEST(Difference, MovesBetweenOrganisationsAreUnsafeAndQuarantined)
{
  const auto old = MakeOrganisations();
  auto changed = old;
  auto& from = FirstService(changed, "a").mUpstreams;
  FirstService(changed, "b").mUpstreams.push_back(from.back());
  from.pop_back();
  const auto difference = CompareOrganisations(old, changed);
  EXPECT_THAT(Kinds(difference, true),
              ElementsAre("upstream-removed", "endpoint-moved"));
  EXPECT_THAT(difference.mChanges.back().mMessage, testing::HasSubstr("71 s"));
  EXPECT_THAT(
    difference.mFlows,
    ElementsAre(
      ListenerFlowEffect{ { { "a" }, "feed" }, 443, FlowEffect::Break },
      ListenerFlowEffect{ { { "b" }, "feed" }, 443, FlowEffect::Stay }));
}

// Guards against changes of the address, port or upstream port of a service
// that are accepted as safe: established flows are identified by them and would
// break.
TEST(Difference, ChangesOfListenersInPlaceAreUnsafe)
{
  const auto old = MakeOrganisations();
  auto changed = old;
  FirstService(changed, "a").mListeners[0].mUpstreamPort = 9443;
  EXPECT_THAT(Kinds(CompareOrganisations(old, changed), true),
              ElementsAre("listener-changed"));
  changed = old;
  FirstService(changed, "a").mAddress.mValue += 7;
  EXPECT_THAT(Kinds(CompareOrganisations(old, changed), true),
              ElementsAre("address-changed"));
  changed = old;
  FirstService(changed, "a").mListeners[0].mPort = 444;
  const auto difference = CompareOrganisations(old, changed);
  EXPECT_THAT(
    Kinds(difference, true),
    ElementsAre("listener-removed", "endpoint-moved", "endpoint-moved"));
  EXPECT_EQ(difference.mFlows[0].mEffect, FlowEffect::Break);
}

// Guards against a comparison that ignores leaving upstreams in the published
// list.
TEST(Difference, PublishedListCountsAsDrain)
{
  DocumentSet old;
  TemplateService service;
  service.mName = "feed";
  service.mListeners = { { 443, 8443, TransportProtocol::Tcp, {}, {} } };
  AddDocument(old, TemplateDocument{ { "t" }, { service } });
  ServiceParameters parameters;
  parameters.mName = "feed";
  parameters.mAddress = { 0x7F0A0001 };
  parameters.mUpstreams = { { { 0x7F140001 }, { "dc1" }, {}, {}, {} } };
  AddDocument(old, OrganisationDocument{ { "a" }, { "t" }, 1, { parameters } });
  auto changed = old;
  AddDocument(changed,
              UpstreamListDocument{
                { "dc1" }, { { { 0x7F140001 }, UpstreamState::Leaving } } });
  EXPECT_THAT(Kinds(Compare(old, changed), false),
              ElementsAre("upstream-drained"));
  EXPECT_TRUE(CheckSubmission(old, changed).IsSafe());
}

Organisations
RandomOrganisations(std::mt19937_64& aRandom)
{
  auto organisations = MakeOrganisations();
  for (auto& [id, organisation] : organisations) {
    auto& service = organisation.mServices[0];
    service.mAddress = { 0x7F0A0000 + (id.mValue == "a" ? 1U : 2U) };
    service.mListeners[0].mUpstreamPort = aRandom() % 8 == 0 ? 9443 : 8443;
    service.mUpstreams.clear();
  }
  for (std::uint32_t index = 0; index < 4; ++index) {
    const auto choice = aRandom() % 8;
    if (choice < 7) {
      FirstService(organisations, choice == 0 ? "b" : "a")
        .mUpstreams.push_back(MakeUpstream(
          index,
          aRandom() % 2 == 0 ? UpstreamState::Live : UpstreamState::Leaving));
    }
  }
  if (aRandom() % 8 == 0) {
    organisations.erase({ "b" });
  }
  return organisations;
}

/// Returns whether each upstream endpoint keeps its organisation or was leaving
/// before its removal. Computed without CompareOrganisations, to check it.
bool
KeepsUpstreams(const Organisations& aOld, const Organisations& aNew)
{
  const auto holders = [](const Organisations& aOrganisations) {
    std::map<Endpoint, std::pair<std::string, UpstreamState>> map;
    for (const auto& [id, organisation] : aOrganisations) {
      const auto& service = organisation.mServices[0];
      for (const auto& upstream : service.mUpstreams) {
        map[{ upstream.mAddress, service.mListeners[0].mUpstreamPort }] = {
          id.mValue, upstream.mState
        };
      }
    }
    return map;
  };
  const auto after = holders(aNew);
  return std::ranges::all_of(holders(aOld), [&](const auto& aEntry) {
    const auto& [endpoint, holder] = aEntry;
    const auto found = after.find(endpoint);
    return found == after.end() ? holder.second == UpstreamState::Leaving
                                : found->second.first == holder.first;
  });
}

// Guards against an unsafe change that isn't reported when it is combined with
// others, and against changes reported between equal sets.
RC_GTEST_PROP(Difference, SafeChangesKeepEachUpstream, (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  for (int round = 0; round < 50; ++round) {
    const auto old = RandomOrganisations(random);
    const auto changed = RandomOrganisations(random);
    if (Kinds(CompareOrganisations(old, changed), true).empty()) {
      RC_ASSERT(KeepsUpstreams(old, changed));
    } else {
      RC_ASSERT(old != changed);
    }
    RC_ASSERT(CompareOrganisations(old, old).mChanges.empty());
  }
}

} // namespace
} // namespace sassafrasknot::state
