#ifndef SASSAFRASKNOT_COORDINATION_MEMBER_UPDATES_HPP
#define SASSAFRASKNOT_COORDINATION_MEMBER_UPDATES_HPP

#include "sassafrasknot/coordination/membership.hpp"

#include <vector>

namespace sassafrasknot::coordination {

/// Returns whether a member belongs to this instance's data centre.
bool
IsLocal(const Membership& aMembership, const Member& aMember);

/// Replaces the update of a member, schedules its propagation if others need
/// it, and adds the changes to the result.
void
UpdateMember(Membership& aMembership,
             Member& aMember,
             const MemberUpdate& aUpdate,
             MembershipResult& aResult,
             state::TimePoint aNow);

/// Merges an update of a member: the higher incarnation wins; for equal ones,
/// the worse health and mLeaving win. An update of this instance that is wrong
/// is refuted by a higher incarnation.
void
MergeUpdate(Membership& aMembership,
            MemberUpdate aUpdate,
            MembershipResult& aResult,
            state::TimePoint aNow);

/// Chooses up to kMaxUpdatesPerMessage updates for a message and counts their
/// transmission. Those with most transmissions left come first, after an update
/// of the receiver itself, so that it can refute a suspicion.
std::vector<MemberUpdate>
ChooseUpdates(Membership& aMembership, const state::InstanceId& aReceiver);

/// Sends a probe with updates to a member and adds it to the pending probes.
void
SendProbe(Membership& aMembership,
          const Member& aTarget,
          MembershipResult& aResult,
          state::TimePoint aNow);

/// Probes three random members, so that they receive a change of this instance
/// at once.
void
ProbeRandomMembers(Membership& aMembership,
                   RandomGenerator& aRandom,
                   MembershipResult& aResult,
                   state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
