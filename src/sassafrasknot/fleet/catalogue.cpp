#include "sassafrasknot/fleet/catalogue.hpp"

#include <algorithm>
#include <set>

namespace sassafrasknot::fleet {
namespace {

void
Remember(Catalogue& aCatalogue, const Record& aRecord)
{
  aCatalogue.mHistory.push_back({ aRecord.mKey, aRecord.mRevision });
  while (aCatalogue.mHistory.size() > kHistoryLength) {
    aCatalogue.mHistoryAfter = aCatalogue.mHistory.front().mRevision;
    aCatalogue.mHistory.pop_front();
  }
}

/// Returns whether the record is newer than what is known of its key.
bool
IsNews(const Catalogue& aCatalogue, const Record& aRecord)
{
  const auto found = aCatalogue.mRecords.find(aRecord.mKey);
  if (found == aCatalogue.mRecords.end()) {
    return !aRecord.mDeleted;
  }
  return aRecord.mRevision > found->second.mRevision;
}

void
Store(Catalogue& aCatalogue, const Record& aRecord)
{
  if (aRecord.mDeleted) {
    aCatalogue.mRecords.erase(aRecord.mKey);
  } else {
    aCatalogue.mRecords[aRecord.mKey] = aRecord;
  }
}

std::vector<std::string>
Replace(Catalogue& aCatalogue, const ChangeSet& aCopy)
{
  std::vector<std::string> changed;
  std::map<std::string, Record> records;
  for (const auto& record : aCopy.mRecords) {
    const bool isNews = IsNews(aCatalogue, record);
    if (isNews) {
      changed.push_back(record.mKey);
    }
    records[record.mKey] =
      isNews ? record : aCatalogue.mRecords.at(record.mKey);
  }
  for (auto& [key, record] : aCatalogue.mRecords) {
    if (records.contains(key)) {
      continue;
    }
    if (record.mRevision > aCopy.mUpTo) {
      records[key] = std::move(record);
    } else {
      changed.push_back(key);
    }
  }
  aCatalogue.mRecords = std::move(records);
  aCatalogue.mHistory.clear();
  aCatalogue.mHistoryAfter = aCopy.mUpTo;
  aCatalogue.mRevision = aCopy.mUpTo;
  return changed;
}

} // namespace

std::optional<std::vector<std::string>>
Merge(Catalogue& aCatalogue, const ChangeSet& aChanges)
{
  if (aChanges.mUpTo <= aCatalogue.mRevision) {
    return std::vector<std::string>{};
  }
  if (aChanges.mAfter == 0) {
    return Replace(aCatalogue, aChanges);
  }
  if (aChanges.mAfter > aCatalogue.mRevision) {
    return std::nullopt;
  }
  std::vector<Record> records;
  std::ranges::copy_if(
    aChanges.mRecords, std::back_inserter(records), [&](const auto& aRecord) {
      return aRecord.mRevision > aCatalogue.mRevision;
    });
  std::ranges::sort(records, {}, &Record::mRevision);
  std::set<std::string> changed;
  for (const auto& record : records) {
    Remember(aCatalogue, record);
    if (IsNews(aCatalogue, record)) {
      changed.insert(record.mKey);
      Store(aCatalogue, record);
    }
  }
  aCatalogue.mRevision = aChanges.mUpTo;
  return std::vector<std::string>(changed.begin(), changed.end());
}

ChangeSet
ChangesAfter(const Catalogue& aCatalogue, state::Revision aAfter)
{
  ChangeSet changes{ aAfter, aCatalogue.mRevision, {} };
  if (aAfter == 0 || aAfter < aCatalogue.mHistoryAfter) {
    changes.mAfter = 0;
    for (const auto& [key, record] : aCatalogue.mRecords) {
      changes.mRecords.push_back(record);
    }
    return changes;
  }
  // Only the newest change of a key matters to an instance that is behind.
  std::set<std::string> seen;
  for (auto it = aCatalogue.mHistory.rbegin();
       it != aCatalogue.mHistory.rend() && it->mRevision > aAfter;
       ++it) {
    if (!seen.insert(it->mKey).second) {
      continue;
    }
    const auto found = aCatalogue.mRecords.find(it->mKey);
    changes.mRecords.push_back(found != aCatalogue.mRecords.end()
                                 ? found->second
                                 : Record{ .mKey = it->mKey,
                                           .mRevision = it->mRevision,
                                           .mDeleted = true });
  }
  return changes;
}

} // namespace sassafrasknot::fleet
