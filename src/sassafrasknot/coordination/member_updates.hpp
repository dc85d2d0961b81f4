#ifndef SASSAFRASKNOT_COORDINATION_MEMBER_UPDATES_HPP
#define SASSAFRASKNOT_COORDINATION_MEMBER_UPDATES_HPP

#include "sassafrasknot/coordination/membership.hpp"

#include <vector>

namespace sassafrasknot::coordination {

/// @brief Returns whether a member is of this instance's data centre.
bool
IsLocal(const Membership& aMembership, const Member& aMember);

/// @brief Replaces what is known of a member and notes what changed.
void
UpdateMember(Membership& aMembership,
             Member& aMember,
             const MemberUpdate& aUpdate,
             MembershipResult& aResult,
             state::TimePoint aNow);

/// @brief Merges an update of a member, or refutes one of this instance.
void
MergeUpdate(Membership& aMembership,
            MemberUpdate aUpdate,
            MembershipResult& aResult,
            state::TimePoint aNow);

/// @brief Chooses the updates that were passed on least; that of the receiver
/// comes first if it has something to refute.
std::vector<MemberUpdate>
ChooseUpdates(Membership& aMembership, const state::InstanceId& aReceiver);

/// @brief Sends a probe to a member.
void
SendProbe(Membership& aMembership,
          const Member& aTarget,
          MembershipResult& aResult,
          state::TimePoint aNow);

/// @brief Probes three random members, so that they learn of a change of this
/// instance at once.
void
ProbeRandomMembers(Membership& aMembership,
                   RandomGenerator& aRandom,
                   MembershipResult& aResult,
                   state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
