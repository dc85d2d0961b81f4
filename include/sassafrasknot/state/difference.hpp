#ifndef SASSAFRASKNOT_STATE_DIFFERENCE_HPP
#define SASSAFRASKNOT_STATE_DIFFERENCE_HPP

#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/document_set.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::state {

/// How long an endpoint that moves between services serves neither of them:
/// 11 s until the change is in force everywhere and 60 s for late packets.
constexpr std::chrono::seconds kMoveQuarantine{ 71 };

/// @brief What a change does.
enum class ChangeKind : std::uint8_t
{
  OrganisationAdded,
  OrganisationRemoved,
  WeightChanged,
  ServiceAdded,
  ServiceRemoved,
  AddressChanged,
  ShardsChanged,
  LimitsChanged,
  ListenerAdded,
  ListenerRemoved,
  ListenerChanged,
  UpstreamAdded,
  UpstreamDrained,
  UpstreamReturned,
  UpstreamRemoved,
  UpstreamChanged,
  EndpointMoved,
  InstanceAdded,
  InstanceLeaving,
  InstanceRemoved,
};

/// @brief What a change does to established flows, weakest first.
enum class FlowEffect : std::uint8_t
{
  Stay,         ///< They stay, and new ones are accepted.
  StayUntilEnd, ///< They stay until they end, without new ones.
  Break,        ///< They break.
};

/// @brief One step of a difference.
struct Change
{
  ChangeKind mKind = ChangeKind::OrganisationAdded;
  /// Key of the document whose effect changes, such as "organisations/a".
  std::string mKey;
  /// Such as "services/scheduling/upstreams/127.20.0.1".
  std::string mLocation;
  std::string mMessage;
  /// Why the change is unsafe, and how to make it safe; empty if it is safe.
  std::string mUnsafeReason;

  auto operator<=>(const Change&) const = default;
};

/// @brief What happens to the established flows of one listener.
struct ListenerFlowEffect
{
  ServiceId mService;
  std::uint16_t mPort = 0;
  FlowEffect mEffect = FlowEffect::Stay;

  auto operator<=>(const ListenerFlowEffect&) const = default;
};

/// @brief What a change from an old set of documents to a new one does.
struct Difference
{
  std::vector<Change> mChanges;
  /// One entry per listener of the old set.
  std::vector<ListenerFlowEffect> mFlows;
};

/// @brief The unsafe steps of a change and of its reversal.
struct SubmissionCheck
{
  std::vector<Change> mUnsafeInChange;
  std::vector<Change> mUnsafeInReversal;

  bool IsSafe() const
  {
    return mUnsafeInChange.empty() && mUnsafeInReversal.empty();
  }
};

/// @brief Compares organisations. Both sets are expected to be free of faults.
/// @param aOld the organisations in force
/// @param aNew the organisations that are to come into force
/// @return what changes
Difference
CompareOrganisations(const std::map<OrganisationId, Organisation>& aOld,
                     const std::map<OrganisationId, Organisation>& aNew);

/// @brief Compares all documents of two sets.
/// @param aOld the set in force
/// @param aNew the set that is to come into force
/// @return what changes
Difference
Compare(const DocumentSet& aOld, const DocumentSet& aNew);

/// @brief Checks that neither a change nor its reversal breaks an established
/// flow, takes an endpoint from another service, or removes an upstream that
/// was not draining.
/// @param aOld the set in force
/// @param aNew the set that is to come into force
/// @return the unsafe steps of both directions
SubmissionCheck
CheckSubmission(const DocumentSet& aOld, const DocumentSet& aNew);

/// @brief Returns the name of a kind as commands show it.
/// @param aKind the kind
/// @return a lower-case name with hyphens, such as "upstream-drained"
std::string_view
ToString(ChangeKind aKind);

/// @brief Returns the name of an effect as commands show it.
/// @param aEffect the effect
/// @return "stay", "stay-until-end" or "break"
std::string_view
ToString(FlowEffect aEffect);

} // namespace sassafrasknot::state

#endif
