#include "sassafrasknot/flows/directory_builder.hpp"

#include <utility>

namespace sassafrasknot::flows {
namespace {

bool
HasStart(const Upstream& aUpstream)
{
  return aUpstream.mStarted.count() != 0;
}

/// Updates what the builder knows of all upstreams before one is removed.
void
ForgetUpstream(DirectoryBuilder& aBuilder, const ListedUpstream& aListed)
{
  aBuilder.mTokens.erase(aListed.mToken);
  aBuilder.mWithStart -= HasStart(aListed.mUpstream) ? 1 : 0;
}

} // namespace

bool
IsForeignEntry(const DirectoryBuilder& aBuilder, const Upstream& aUpstream)
{
  if (HasStart(aUpstream)) {
    return false;
  }
  const auto found = aBuilder.mUpstreams.find(aUpstream.mId);
  return found != aBuilder.mUpstreams.end()
           ? HasStart(found->second.mListed.mUpstream)
           : 2 * aBuilder.mWithStart > aBuilder.mUpstreams.size();
}

void
UpsertUpstream(DirectoryBuilder& aBuilder, const Upstream& aUpstream)
{
  const auto token = TokenOf(aUpstream.mId);
  const auto [found, isNew] = aBuilder.mUpstreams.try_emplace(aUpstream.mId);
  if (isNew && !aBuilder.mTokens.insert(token).second) {
    aBuilder.mHasSharedToken = true;
  }
  aBuilder.mChanged.insert(aUpstream.mId);
  auto& entry = found->second;
  aBuilder.mWithStart -= HasStart(entry.mListed.mUpstream) ? 1 : 0;
  aBuilder.mWithStart += HasStart(aUpstream) ? 1 : 0;
  entry = { { aUpstream, Presence::Listed, token }, {} };
}

void
RemoveUpstream(DirectoryBuilder& aBuilder,
               const std::string& aId,
               state::TimePoint aNow)
{
  const auto found = aBuilder.mUpstreams.find(aId);
  if (found == aBuilder.mUpstreams.end()) {
    return;
  }
  auto& [listed, expiredAt] = found->second;
  aBuilder.mChanged.insert(aId);
  if (listed.mUpstream.mDraining) {
    ForgetUpstream(aBuilder, listed);
    aBuilder.mUpstreams.erase(found);
  } else if (listed.mPresence == Presence::Listed) {
    listed.mPresence = Presence::Expired;
    expiredAt = aNow;
  }
}

bool
RemoveExpired(DirectoryBuilder& aBuilder, state::TimePoint aNow)
{
  return std::erase_if(aBuilder.mUpstreams, [&](const auto& aItem) {
           const auto& [listed, expiredAt] = aItem.second;
           const bool isOver = listed.mPresence == Presence::Expired &&
                               aNow - expiredAt > kExpiryGracePeriod;
           if (isOver) {
             aBuilder.mChanged.insert(aItem.first);
             ForgetUpstream(aBuilder, listed);
           }
           return isOver;
         }) > 0;
}

std::shared_ptr<const Directory>
BuildDirectory(const DirectoryBuilder& aBuilder, state::Revision aRevision)
{
  auto directory = std::make_shared<Directory>();
  directory->mRevision = aRevision;
  directory->mConfiguration = aBuilder.mConfiguration;
  directory->mEvacuations = aBuilder.mEvacuations;
  directory->mUpstreams.reserve(aBuilder.mUpstreams.size());
  for (const auto& [id, entry] : aBuilder.mUpstreams) {
    directory->mUpstreams.push_back(entry.mListed);
  }
  return directory;
}

std::shared_ptr<const Directory>
BuildNextDirectory(DirectoryBuilder& aBuilder, state::Revision aRevision)
{
  const auto changed = std::exchange(aBuilder.mChanged, {});
  if (std::exchange(aBuilder.mNeedsAll, false) || aBuilder.mHasSharedToken) {
    return BuildDirectory(aBuilder, aRevision);
  }
  auto directory = std::make_shared<Directory>();
  directory->mRevision = aRevision;
  directory->mConfiguration = aBuilder.mConfiguration;
  directory->mEvacuations = aBuilder.mEvacuations;
  directory->mIsIncremental = true;
  for (const auto& id : changed) {
    const auto found = aBuilder.mUpstreams.find(id);
    if (found == aBuilder.mUpstreams.end()) {
      directory->mRemoved.push_back(TokenOf(id));
    } else {
      directory->mUpstreams.push_back(found->second.mListed);
    }
  }
  return directory;
}

} // namespace sassafrasknot::flows
