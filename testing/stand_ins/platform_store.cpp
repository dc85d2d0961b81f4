#include "platform_store.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace stand_ins {
namespace {

namespace fs = std::filesystem;

/// Returns the version that is seen at a time, or null if there is none.
const KeyVersion*
VersionAt(const std::vector<KeyVersion>& aVersions, state::TimePoint aAt)
{
  const auto newer = std::ranges::upper_bound(
    aVersions, aAt, std::ranges::less{}, &KeyVersion::mSince);
  return newer == aVersions.begin() ? nullptr : &*std::prev(newer);
}

std::optional<std::string>
ReadJson(const fs::path& aFile)
{
  std::ifstream input(aFile, std::ios::binary);
  const std::string text{ std::istreambuf_iterator<char>(input), {} };
  boost::system::error_code failure;
  boost::json::parse(text, failure);
  return failure ? std::nullopt : std::optional(text);
}

} // namespace

void
Update(PlatformStore& aStore,
       const std::map<std::string, std::string>& aValues,
       state::TimePoint aNow)
{
  // Keys without a value in the folder were deleted.
  std::map<std::string, std::optional<std::string>> values(aValues.begin(),
                                                           aValues.end());
  for (const auto& [key, versions] : aStore.mKeys) {
    values.try_emplace(key);
  }
  for (auto& [key, text] : values) {
    auto& versions = aStore.mKeys[key];
    if (versions.empty() || versions.back().mText != text) {
      versions.push_back({ ++aStore.mRevision, aNow, std::move(text) });
    }
  }
}

sassafrasknot::protocol::PlatformResponse
Answer(const PlatformStore& aStore,
       std::optional<state::Revision> aAbove,
       state::TimePoint aAt)
{
  sassafrasknot::protocol::PlatformResponse answer;
  answer.mFull = !aAbove;
  for (const auto& [key, versions] : aStore.mKeys) {
    const auto* const version = VersionAt(versions, aAt);
    if (version == nullptr) {
      continue;
    }
    answer.mRevision = std::max(answer.mRevision, version->mRevision);
    const bool isDeleted = !version->mText;
    if (aAbove ? version->mRevision > *aAbove : !isDeleted) {
      answer.mRecords.push_back({ key,
                                  version->mRevision,
                                  isDeleted,
                                  version->mText.value_or(std::string()),
                                  nullptr });
    }
  }
  return answer;
}

void
ReadValues(const std::string& aFolder,
           std::map<std::string, std::string>& aValues)
{
  std::map<std::string, std::string> values;
  for (const auto* kind :
       { "templates", "organisations", "instances", "upstreams" }) {
    std::error_code failure;
    for (fs::directory_iterator at(fs::path(aFolder) / kind, failure), end;
         !failure && at != end;
         at.increment(failure)) {
      if (at->path().extension() != ".json") {
        continue;
      }
      auto key = std::string(kind) + '/' + at->path().stem().string();
      if (auto text = ReadJson(at->path())) {
        values[key] = std::move(*text);
      } else if (const auto old = aValues.find(key); old != aValues.end()) {
        values[key] = old->second;
      }
    }
  }
  aValues = std::move(values);
}

} // namespace stand_ins
