#ifndef SASSAFRASKNOT_STAND_INS_PLATFORM_STORE_HPP
#define SASSAFRASKNOT_STAND_INS_PLATFORM_STORE_HPP

#include "sassafrasknot/protocol/platform_codec.hpp"
#include "sassafrasknot/state/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace stand_ins {

namespace state = sassafrasknot::state;

/// @brief Value of a key from one revision on.
struct KeyVersion
{
  state::Revision mRevision = 0;
  /// Time of the revision on the steady clock.
  state::TimePoint mSince;
  /// JSON document; absent if this revision deleted the key.
  std::optional<std::string> mText;
};

/// @brief All versions of all documents of the configuration service.
struct PlatformStore
{
  /// Latest revision.
  state::Revision mRevision = 0;
  /// Versions by key, such as "upstreams/dc1", in order of their revisions.
  std::map<std::string, std::vector<KeyVersion>> mKeys;
};

/// @brief Replaces the current values. Each key that was changed, added or
/// removed gets the next revision, in order of the keys.
/// @param aStore receives the new versions
/// @param aValues JSON documents by key; other keys are deleted
/// @param aNow current time on the steady clock
void
Update(PlatformStore& aStore,
       const std::map<std::string, std::string>& aValues,
       state::TimePoint aNow);

/// @brief Builds the response to a read or a watch from the documents as of a
/// time.
/// @param aStore versions to read from
/// @param aAfterRevision selects the keys that changed after this revision,
/// including deleted ones; absent for a full read, which omits deleted keys
/// @param aAt versions newer than this time are ignored
/// @return records and the highest revision as of aAt
sassafrasknot::protocol::PlatformResponse
BuildReadResponse(const PlatformStore& aStore,
                  std::optional<state::Revision> aAfterRevision,
                  state::TimePoint aAt);

/// @brief Reads the files KIND/NAME.json of a folder, where KIND is templates,
/// organisations, instances or upstreams. The key of a file is KIND/NAME. A
/// file that is not valid JSON keeps its previous value, as it may be
/// incomplete while it is being written.
/// @param aFolder folder that contains the folders of the kinds
/// @param aDocuments in: previous JSON documents by key; out: current ones
void
ReadDocuments(const std::string& aFolder,
              std::map<std::string, std::string>& aDocuments);

} // namespace stand_ins

#endif
