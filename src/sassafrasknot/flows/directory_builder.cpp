#include "sassafrasknot/flows/directory_builder.hpp"

namespace sassafrasknot::flows {

void
UpsertUpstream(DirectoryBuilder& aBuilder, const Upstream& aUpstream)
{
  aBuilder.mUpstreams[aUpstream.mId] = {
    { aUpstream, Presence::Listed, TokenOf(aUpstream.mId) }, {}
  };
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
  if (listed.mUpstream.mDraining) {
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
           const auto& entry = aItem.second;
           return entry.mListed.mPresence == Presence::Expired &&
                  aNow - entry.mExpiredAt > kExpiryGracePeriod;
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

} // namespace sassafrasknot::flows
