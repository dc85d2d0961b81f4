#include "sassafrasknot/coordination/control_core_impl.hpp"

#include <array>
#include <sstream>

#include <boost/property_tree/json_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace sassafrasknot::coordination {

std::string
ControlCore::Dump() const
{
  using boost::property_tree::ptree;
  const auto& impl = *mImpl;
  ptree root;
  root.put("instance", impl.mSettings.mId.mValue);
  root.put("data_centre", impl.mSettings.mDataCentre.mValue);
  root.put("revision_in_force", impl.mStore.mCompleteRevision);
  root.put("highest_revision", impl.mStore.mHighestRevision);
  root.put("trusted", impl.mStallDetector.mTrusted);
  root.put("stopping", impl.mMembership.mSelf.mLeaving);
  ptree members;
  for (const auto& [id, member] : impl.mMembership.mMembers) {
    static constexpr std::array kHealth{ "alive", "suspected", "dead" };
    ptree item;
    item.put("id", id.mValue);
    item.put("data_centre", member.mUpdate.mDataCentre.mValue);
    item.put("health",
             kHealth.at(static_cast<std::size_t>(member.mUpdate.mHealth)));
    item.put("leaving", member.mUpdate.mLeaving);
    item.put("incarnation", member.mUpdate.mIncarnation);
    item.put("listed", member.mListed);
    item.put("revision_in_force", member.mRevisionInForce);
    members.push_back({ "", item });
  }
  root.add_child("members", members);
  ptree organisations;
  for (const auto& [key, organisation] : impl.mStore.mOrganisations) {
    ptree item;
    item.put("key", key);
    item.put("latest_revision",
             impl.mStore.mRecords.find(key)->second.mRevision);
    item.put("revision_in_force",
             organisation.mInForcePair
               ? organisation.mInForcePair->mOrganisation.mRevision
               : 0);
    item.put("reason", organisation.mReason);
    organisations.push_back({ "", item });
  }
  root.add_child("organisations", organisations);
  ptree quarantined;
  for (const auto& [endpoint, released] : impl.mBuilder.mQuarantine.mReleased) {
    ptree item;
    item.put("endpoint", ToString(endpoint));
    item.put("revision", released.mRevision);
    item.put("moved", released.mMoved);
    quarantined.push_back({ "", item });
  }
  root.add_child("quarantine", quarantined);
  std::ostringstream text;
  boost::property_tree::write_json(text, root, false);
  return text.str();
}

} // namespace sassafrasknot::coordination
