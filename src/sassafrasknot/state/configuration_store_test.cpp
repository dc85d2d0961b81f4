#include "sassafrasknot/state/configuration_store.hpp"
#include "sassafrasknot/state/sample_documents.hpp"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::state {
namespace {

using namespace sample;

using Records = std::vector<ConfigurationRecord>;

/// A template and a valid organisation "a", at revisions 1 and 2.
Records
Base()
{
  return { MakeTemplate(1), MakeOrganisation("a", 2, 1, { 1, 2 }) };
}

const OrganisationState&
StateOf(const ConfigurationStore& aStore, const std::string& aName)
{
  return aStore.mOrganisations.at("organisations/" + aName);
}

/// Returns the revision of the organisation's record in force, or 0 if none is.
Revision
InForce(const ConfigurationStore& aStore, const std::string& aName)
{
  const auto& pair = StateOf(aStore, aName).mInForcePair;
  return pair ? pair->mOrganisation.mRevision : 0;
}

std::vector<ConfigurationEntry>
AllEntries(const ConfigurationStore& aStore)
{
  std::vector<ConfigurationEntry> entries;
  for (const auto& [key, record] : aStore.mRecords) {
    entries.push_back(*FindEntry(aStore, key));
  }
  return entries;
}

// Guards against the loss of a change that was already merged: a replica of the
// platform's configuration service that is behind responds to a full read with
// older records.
TEST(ConfigurationStore, KeepsNewerRecordAfterReadFromStaleReplica)
{
  ConfigurationStore store;
  MergeRecords(store, Base(), 5, std::nullopt);
  MergeRecords(
    store, Records{ MakeOrganisation("a", 9, 1, { 3 }) }, 9, Revision{ 5 });
  MergeRecords(store, Base(), 5, std::nullopt);
  EXPECT_EQ(InForce(store, "a"), 9);
  EXPECT_EQ(store.mCompleteRevision, 9);
}

// Guards against deleted organisations that remain in force, and against a full
// read from a replica that is behind and therefore lacks a newer organisation,
// which must not be deleted.
TEST(ConfigurationStore, FullReadDeletesOnlyKeysUpToItsRevision)
{
  ConfigurationStore store;
  MergeRecords(store, Base(), 5, std::nullopt);
  MergeRecords(
    store, Records{ MakeOrganisation("b", 9, 2, { 4 }) }, 9, Revision{ 5 });
  MergeRecords(store, Records{ MakeTemplate(1) }, 7, std::nullopt);
  EXPECT_TRUE(store.mRecords.at("organisations/a").mDeleted);
  EXPECT_EQ(InForce(store, "a"), 0);
  EXPECT_EQ(InForce(store, "b"), 9);
}

// Guards against an invalid change that ends a working service, also on an
// instance that starts after the change and gets the previous records only from
// other instances.
TEST(ConfigurationStore, InvalidChangeLeavesPreviousInForce)
{
  ConfigurationStore store;
  MergeRecords(store, Base(), 5, std::nullopt);
  const auto result = MergeRecords(
    store, Records{ MakeInvalidOrganisation("a", 6) }, 6, Revision{ 5 });
  EXPECT_EQ(InForce(store, "a"), 2);
  ASSERT_EQ(result.mRejected.size(), 1);
  EXPECT_FALSE(result.mRejected[0].mReason.empty());

  ConfigurationStore started;
  MergeEntries(started, AllEntries(store));
  EXPECT_EQ(InForce(started, "a"), 2);
  EXPECT_EQ(StoreHash(started), StoreHash(store));
}

// Guards against a change of a template that ends the services of an
// organisation whose parameters don't match the new template.
TEST(ConfigurationStore, TemplateThatDoesNotFitLeavesPreviousInForce)
{
  ConfigurationStore store;
  MergeRecords(store, Base(), 5, std::nullopt);
  const auto other =
    MakeRecord("templates/common", 6, TemplateDocument{ { "common" }, {} });
  MergeRecords(store, Records{ other }, 6, Revision{ 5 });
  EXPECT_EQ(InForce(store, "a"), 2);
  EXPECT_EQ(StateOf(store, "a").mInForcePair->mTemplate.mRevision, 1);
}

// Guards against an organisation that gets an address which another one already
// uses, and against the loss of this earlier claim when its holder changes its
// own document later.
TEST(ConfigurationStore, EarlierClaimKeepsAddress)
{
  ConfigurationStore store;
  MergeRecords(store, Base(), 2, std::nullopt);
  MergeRecords(
    store, Records{ MakeOrganisation("b", 3, 2, { 2 }) }, 3, Revision{ 2 });
  EXPECT_EQ(InForce(store, "b"), 0);
  MergeRecords(
    store, Records{ MakeOrganisation("a", 4, 1, { 2, 5 }) }, 4, Revision{ 3 });
  EXPECT_EQ(InForce(store, "a"), 4);
  EXPECT_EQ(InForce(store, "b"), 0);

  // An instance that read only the latest records gets the revision of the
  // earlier claim from another instance.
  ConfigurationStore started;
  MergeRecords(started,
               Records{ MakeTemplate(1),
                        MakeOrganisation("a", 4, 1, { 2, 5 }),
                        MakeOrganisation("b", 3, 2, { 2 }) },
               4,
               std::nullopt);
  MergeEntries(started, AllEntries(store));
  EXPECT_EQ(InForce(started, "a"), 4);
  EXPECT_EQ(InForce(started, "b"), 0);

  MergeRecords(
    store, Records{ MakeOrganisation("a", 6, 1, { 5 }) }, 6, Revision{ 4 });
  EXPECT_EQ(InForce(store, "b"), 3) << "the released address is free again";
}

Records
AllChanges()
{
  return { MakeTemplate(1),
           MakeOrganisation("a", 2, 1, { 1, 2 }),
           MakeOrganisation("b", 3, 2, { 3 }),
           MakeInvalidOrganisation("a", 4),
           MakeOrganisation("c", 5, 3, { 3, 4 }),
           MakeTemplate(6, 9090),
           MakeOrganisation("a", 7, 1, { 2, 5 }),
           MakeTombstone("organisations/b", 8),
           MakeOrganisation("b", 9, 2, { 6 }),
           MakeInvalidOrganisation("c", 10),
           MakeTemplate(11) };
}

// Guards against stores that differ permanently, or return to older records,
// because they received the changes in different orders, repeatedly or not at
// all before they exchanged entries.
RC_GTEST_PROP(ConfigurationStore, AllOrdersOfMergesEndEqual, ())
{
  const auto changes = AllChanges();
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  std::mt19937 random(seed);
  std::array<ConfigurationStore, 3> stores;
  std::array<std::map<std::string, Revision>, 3> seen;
  const auto check = [&](std::size_t aIndex) {
    for (const auto& [key, record] : stores.at(aIndex).mRecords) {
      RC_ASSERT(record.mRevision >= seen.at(aIndex)[key]);
      seen.at(aIndex)[key] = record.mRevision;
    }
  };
  for (int step = 0; step < 40; ++step) {
    const auto index = random() % stores.size();
    if (random() % 4 == 0) {
      MergeEntries(stores.at(index),
                   AllEntries(stores.at(random() % stores.size())));
    } else {
      MergeRecords(stores.at(index),
                   Records{ changes.at(random() % changes.size()) },
                   0,
                   Revision{ 0 });
    }
    check(index);
  }
  // Each change is merged into one store; then all stores exchange entries.
  for (std::size_t index = 0; index < changes.size(); ++index) {
    MergeRecords(stores.at(index % stores.size()),
                 Records{ changes[index] },
                 0,
                 Revision{ 0 });
  }
  for (int round = 0; round < 4; ++round) {
    for (auto& target : stores) {
      for (const auto& source : stores) {
        MergeEntries(target, AllEntries(source));
      }
    }
  }
  for (std::size_t index = 0; index < stores.size(); ++index) {
    check(index);
    RC_ASSERT(StoreHash(stores.at(index)) == StoreHash(stores[0]));
    for (const auto* name : { "a", "b", "c" }) {
      RC_ASSERT(InForce(stores.at(index), name) == InForce(stores[0], name));
    }
  }
}

} // namespace
} // namespace sassafrasknot::state
