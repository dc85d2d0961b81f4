#ifndef SASSAFRASKNOT_FLOWS_DIRECTORY_BUILDER_HPP
#define SASSAFRASKNOT_FLOWS_DIRECTORY_BUILDER_HPP

#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace sassafrasknot::flows {

/// Entries that lapsed although their upstream lives are back within about two
/// seconds, as the platform's operators state.
constexpr std::chrono::milliseconds kExpiryGracePeriod{ 2000 };

/// @brief Collects published items into directories.
struct DirectoryBuilder
{
  struct Entry
  {
    ListedUpstream mListed;
    state::TimePoint mExpiredAt;
  };

  std::shared_ptr<const Configuration> mConfiguration;
  std::map<std::string, Entry> mUpstreams;
};

/// @brief Takes an upstream's description.
/// @param aBuilder the builder
/// @param aUpstream the upstream
void
UpsertUpstream(DirectoryBuilder& aBuilder, const Upstream& aUpstream);

/// @brief Notes that an upstream is no longer described. One that was draining
/// has left; any other is missing for kExpiryGracePeriod.
/// @param aBuilder the builder
/// @param aId its id
/// @param aNow the time
void
RemoveUpstream(DirectoryBuilder& aBuilder,
               const std::string& aId,
               state::TimePoint aNow);

/// @brief Drops upstreams that have been missing for long enough.
/// @param aBuilder the builder
/// @param aNow the time
/// @return whether any was dropped
bool
RemoveExpired(DirectoryBuilder& aBuilder, state::TimePoint aNow);

/// @brief Makes a directory of what was collected.
/// @param aBuilder the builder
/// @param aRevision revision of the items
/// @return the directory
std::shared_ptr<const Directory>
BuildDirectory(const DirectoryBuilder& aBuilder, state::Revision aRevision);

} // namespace sassafrasknot::flows

#endif
