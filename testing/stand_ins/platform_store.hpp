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

/// @brief A value of a key from one revision on.
struct KeyVersion
{
  state::Revision mRevision = 0;
  state::TimePoint mSince;
  /// Absent from the revision on at which the key is deleted.
  std::optional<std::string> mText;
};

/// @brief Keys of the platform with all their versions, oldest first.
struct PlatformStore
{
  state::Revision mRevision = 0;
  std::map<std::string, std::vector<KeyVersion>> mKeys;
};

/// @brief Takes the values that are stored now. Each key that changed, came or
/// went gets the next revision, in order of the keys.
/// @param aStore the store
/// @param aValues all keys and values
/// @param aNow the time
void
Update(PlatformStore& aStore,
       const std::map<std::string, std::string>& aValues,
       state::TimePoint aNow);

/// @brief Answers a read as of a time.
/// @param aStore the store
/// @param aAbove answers with the keys that changed after this revision;
/// absent for a full read, which leaves deleted keys out
/// @param aAt versions that are newer than this time are not seen
/// @return the answer
sassafrasknot::protocol::PlatformResponse
Answer(const PlatformStore& aStore,
       std::optional<state::Revision> aAbove,
       state::TimePoint aAt);

/// @brief Reads the values of a folder: templates/NAME.json and so on. A file
/// that is no JSON keeps its earlier value, as it may be half written.
/// @param aFolder the folder
/// @param aValues values so far; receives the values
void
ReadValues(const std::string& aFolder,
           std::map<std::string, std::string>& aValues);

} // namespace stand_ins

#endif
