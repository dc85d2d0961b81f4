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

/// Returns the version in force at a time, or null if the key did not exist
/// yet.
const KeyVersion*
VersionAt(const std::vector<KeyVersion>& aVersions, state::TimePoint aAt)
{
  const auto newer = std::ranges::upper_bound(
    aVersions, aAt, std::ranges::less{}, &KeyVersion::mSince);
  return newer == aVersions.begin() ? nullptr : &*std::prev(newer);
}

/// Returns the text of a file, or nothing if it is not valid JSON.
std::optional<std::string>
ReadJsonText(const fs::path& aFile)
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
  // Known keys that have no value any more were deleted.
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
BuildReadResponse(const PlatformStore& aStore,
                  std::optional<state::Revision> aAfterRevision,
                  state::TimePoint aAt)
{
  sassafrasknot::protocol::PlatformResponse response;
  response.mFull = !aAfterRevision;
  for (const auto& [key, versions] : aStore.mKeys) {
    const auto* const version = VersionAt(versions, aAt);
    if (version == nullptr) {
      continue;
    }
    response.mRevision = std::max(response.mRevision, version->mRevision);
    const bool isDeleted = !version->mText;
    if (aAfterRevision ? version->mRevision > *aAfterRevision : !isDeleted) {
      response.mRecords.push_back({ key,
                                    version->mRevision,
                                    isDeleted,
                                    version->mText.value_or(std::string()),
                                    nullptr });
    }
  }
  return response;
}

void
ReadDocuments(const std::string& aFolder,
              std::map<std::string, std::string>& aDocuments)
{
  std::map<std::string, std::string> documents;
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
      if (auto text = ReadJsonText(at->path())) {
        documents[key] = std::move(*text);
      } else if (const auto previous = aDocuments.find(key);
                 previous != aDocuments.end()) {
        documents[key] = previous->second;
      }
    }
  }
  aDocuments = std::move(documents);
}

} // namespace stand_ins
