#include "sassafrasknot/fleet/catalogue.hpp"

#include <algorithm>
#include <set>

namespace sassafrasknot::fleet {
namespace {

/// Adds a change to the history, and removes the oldest ones beyond
/// kHistoryLength.
void
AppendToHistory(Catalogue& aCatalogue, const Record& aRecord)
{
  aCatalogue.mHistory.push_back({ aRecord.mKey, aRecord.mRevision });
  while (aCatalogue.mHistory.size() > kHistoryLength) {
    aCatalogue.mHistoryAfter = aCatalogue.mHistory.front().mRevision;
    aCatalogue.mHistory.pop_front();
  }
}

/// Returns whether the record is newer than the catalogue's record of its key.
/// The deletion of a key that the catalogue does not have changes nothing.
bool
IsNewer(const Catalogue& aCatalogue, const Record& aRecord)
{
  const auto found = aCatalogue.mRecords.find(aRecord.mKey);
  if (found == aCatalogue.mRecords.end()) {
    return !aRecord.mDeleted;
  }
  return aRecord.mRevision > found->second.mRevision;
}

void
ApplyRecord(Catalogue& aCatalogue, const Record& aRecord)
{
  if (aRecord.mDeleted) {
    aCatalogue.mRecords.erase(aRecord.mKey);
  } else {
    aCatalogue.mRecords[aRecord.mKey] = aRecord;
  }
}

/// Replaces the records by a full copy, except records that are newer than the
/// copy, and empties the history, since the changes before the copy are
/// unknown. Returns the keys whose records changed.
std::vector<std::string>
ApplyFullCopy(Catalogue& aCatalogue, const ChangeSet& aFullCopy)
{
  std::vector<std::string> changed;
  std::map<std::string, Record> records;
  for (const auto& record : aFullCopy.mRecords) {
    const bool isNewer = IsNewer(aCatalogue, record);
    if (isNewer) {
      changed.push_back(record.mKey);
    }
    records[record.mKey] =
      isNewer ? record : aCatalogue.mRecords.at(record.mKey);
  }
  for (auto& [key, record] : aCatalogue.mRecords) {
    if (records.contains(key)) {
      continue;
    }
    if (record.mRevision > aFullCopy.mUpTo) {
      records[key] = std::move(record);
    } else {
      changed.push_back(key);
    }
  }
  aCatalogue.mRecords = std::move(records);
  aCatalogue.mHistory.clear();
  aCatalogue.mHistoryAfter = aFullCopy.mUpTo;
  aCatalogue.mRevision = aFullCopy.mUpTo;
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
    return ApplyFullCopy(aCatalogue, aChanges);
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
    AppendToHistory(aCatalogue, record);
    if (IsNewer(aCatalogue, record)) {
      changed.insert(record.mKey);
      ApplyRecord(aCatalogue, record);
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
  // An instance that is behind needs only the newest change of each key.
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
