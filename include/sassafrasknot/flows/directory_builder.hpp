#ifndef SASSAFRASKNOT_FLOWS_DIRECTORY_BUILDER_HPP
#define SASSAFRASKNOT_FLOWS_DIRECTORY_BUILDER_HPP

#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>

namespace sassafrasknot::flows {

/// How long an upstream whose entry has expired stays in the directory. If the
/// upstream still runs, the platform restores its entry within about two
/// seconds.
constexpr std::chrono::milliseconds kExpiryGracePeriod{ 2000 };

/// @brief Collects the published items from which directories are built.
struct DirectoryBuilder
{
  struct Entry
  {
    ListedUpstream mListed;
    /// When its entry expired; only for Presence::Expired.
    state::TimePoint mExpiredAt;
  };

  std::shared_ptr<const Configuration> mConfiguration;
  /// Upstreams by id.
  std::map<std::string, Entry> mUpstreams;
  Evacuations mEvacuations;
  /// Ids of the upstreams that changed since the last BuildNextDirectory.
  std::set<std::string> mChanged;
  /// Tokens of all upstreams.
  std::unordered_set<UpstreamToken> mTokens;
  /// Number of upstreams whose entries state when they started.
  std::size_t mWithStart = 0;
  /// Whether the next directory must have all upstreams.
  bool mNeedsAll = true;
  /// Whether two ids had the same token at any time. Which of them holds it
  /// depends on all upstreams, so that no directory is incremental any more.
  bool mHasSharedToken = false;
};

/// @brief Returns whether an entry is from another writer than the upstream
/// itself: it does not state when the upstream started, although the last entry
/// of that upstream did. For an unknown upstream, what most entries do decides.
/// Earlier platforms have no starts in any entry.
/// @param aBuilder the builder
/// @param aUpstream the upstream as published
/// @return whether the entry must not be used
bool
IsForeignEntry(const DirectoryBuilder& aBuilder, const Upstream& aUpstream);

/// @brief Adds an upstream or replaces its description. An expired one is
/// listed again.
/// @param aBuilder the builder
/// @param aUpstream the upstream as published
void
UpsertUpstream(DirectoryBuilder& aBuilder, const Upstream& aUpstream);

/// @brief Records that an upstream is no longer published. One that was
/// draining is removed at once; any other is expired and stays for
/// kExpiryGracePeriod.
/// @param aBuilder the builder
/// @param aId the upstream's id; an unknown one has no effect
/// @param aNow current time on the steady clock
void
RemoveUpstream(DirectoryBuilder& aBuilder,
               const std::string& aId,
               state::TimePoint aNow);

/// @brief Removes upstreams that expired more than kExpiryGracePeriod ago.
/// @param aBuilder the builder
/// @param aNow current time on the steady clock
/// @return whether any was removed
bool
RemoveExpired(DirectoryBuilder& aBuilder, state::TimePoint aNow);

/// @brief Builds a directory from the collected items.
/// @param aBuilder the builder
/// @param aRevision revision of the store that the items are from
/// @return the directory
std::shared_ptr<const Directory>
BuildDirectory(const DirectoryBuilder& aBuilder, state::Revision aRevision);

/// @brief Builds the directory that follows the last one that this function
/// built: incremental, so that its cost depends on the changes only. The first
/// one has all upstreams.
/// @param aBuilder the builder
/// @param aRevision revision of the store that the items are from
/// @return the directory, to be applied after the previous one
std::shared_ptr<const Directory>
BuildNextDirectory(DirectoryBuilder& aBuilder, state::Revision aRevision);

} // namespace sassafrasknot::flows

#endif
