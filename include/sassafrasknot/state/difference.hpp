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

/// Shortest time for which an endpoint that moves is used for new flows by
/// neither its old nor its new service: 11 s until the change is in force on
/// all instances and 60 s for late packets. It equals kQuarantine of
/// quarantine.hpp.
constexpr std::chrono::seconds kMoveQuarantine{ 71 };

/// @brief Kind of a change between two sets of documents.
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

/// @brief Effect of a change on established flows, in order of severity.
enum class FlowEffect : std::uint8_t
{
  Stay,         ///< They continue, and new flows are accepted.
  StayUntilEnd, ///< They continue until they end; no new flow is accepted.
  Break,        ///< They are interrupted.
};

/// @brief One change between two sets of documents.
struct Change
{
  ChangeKind mKind = ChangeKind::OrganisationAdded;
  /// Key of the document that the change concerns, such as "organisations/a".
  std::string mKey;
  /// Path within the document, such as
  /// "services/scheduling/upstreams/127.20.0.1".
  std::string mLocation;
  /// Effect of the change, for operators.
  std::string mMessage;
  /// Why the change is unsafe, and how to make it safe; empty if it is safe.
  std::string mUnsafeReason;

  auto operator<=>(const Change&) const = default;
};

/// @brief Effect of a difference on the established flows of one listener.
struct ListenerFlowEffect
{
  ServiceId mService;
  std::uint16_t mPort = 0;
  FlowEffect mEffect = FlowEffect::Stay;

  auto operator<=>(const ListenerFlowEffect&) const = default;
};

/// @brief All changes between an old set of documents and a new one.
struct Difference
{
  std::vector<Change> mChanges;
  /// One entry per listener of the old set.
  std::vector<ListenerFlowEffect> mFlows;
};

/// @brief The unsafe changes of a submitted set of documents and of its
/// reversal to the old set.
struct SubmissionCheck
{
  std::vector<Change> mUnsafeInChange;
  std::vector<Change> mUnsafeInReversal;

  bool IsSafe() const
  {
    return mUnsafeInChange.empty() && mUnsafeInReversal.empty();
  }
};

/// @brief Compares organisations. Both sets should be free of validation errors
/// (RenderSet).
/// @param aOld organisations in force
/// @param aNew organisations that replace them
/// @return the changes and their effects on flows
Difference
CompareOrganisations(const std::map<OrganisationId, Organisation>& aOld,
                     const std::map<OrganisationId, Organisation>& aNew);

/// @brief Compares the rendered organisations and the instances of two sets of
/// documents.
/// @param aOld documents in force
/// @param aNew documents that replace them
/// @return the changes and their effects on flows
Difference
Compare(const DocumentSet& aOld, const DocumentSet& aNew);

/// @brief Checks that neither a change nor its reversal breaks an established
/// flow, moves an endpoint from one service to another, or removes an upstream
/// that was not draining.
/// @param aOld documents in force
/// @param aNew documents that replace them
/// @return the unsafe changes from old to new and from new to old
SubmissionCheck
CheckSubmission(const DocumentSet& aOld, const DocumentSet& aNew);

/// @brief Returns the name of a kind of change as commands print it.
/// @param aKind kind of change
/// @return a lower-case name with hyphens, such as "upstream-drained"
std::string_view
ToString(ChangeKind aKind);

/// @brief Returns the name of an effect as commands print it.
/// @param aEffect effect on established flows
/// @return "stay", "stay-until-end" or "break"
std::string_view
ToString(FlowEffect aEffect);

} // namespace sassafrasknot::state

#endif
