#include "change_text.hpp"

#include <array>
#include <iostream>

namespace sassafrasknotctl {

std::string
ToText(const sassafrasknot::state::Change& aChange)
{
  auto text = std::string(ToString(aChange.mKind)) + ' ' + aChange.mKey;
  if (!aChange.mLocation.empty()) {
    text += ' ' + aChange.mLocation;
  }
  return text + ": " + aChange.mMessage;
}

boost::json::array
ToJson(const std::vector<sassafrasknot::state::Change>& aChanges)
{
  boost::json::array array;
  for (const auto& change : aChanges) {
    array.push_back(boost::json::object{ { "kind", ToString(change.mKind) },
                                         { "key", change.mKey },
                                         { "place", change.mLocation },
                                         { "message", change.mMessage },
                                         { "danger", change.mUnsafeReason } });
  }
  return array;
}

void
PrintDifference(const sassafrasknot::state::Difference& aDifference)
{
  for (const auto& change : aDifference.mChanges) {
    std::cout << ToText(change) << '\n';
    if (!change.mUnsafeReason.empty()) {
      std::cout << "  unsafe: " << change.mUnsafeReason << '\n';
    }
  }
  std::array<std::size_t, 3> counts{};
  for (const auto& flows : aDifference.mFlows) {
    ++counts.at(static_cast<std::size_t>(flows.mEffect));
    if (flows.mEffect != sassafrasknot::state::FlowEffect::Stay) {
      std::cout << "flows of " << flows.mService.mOrganisation.mValue << '/'
                << flows.mService.mName << ':' << flows.mPort << ": "
                << ToString(flows.mEffect) << '\n';
    }
  }
  std::cout << aDifference.mChanges.size() << " changes; established flows of "
            << counts[0] << " listeners stay, of " << counts[1]
            << " stay until they end, of " << counts[2] << " break\n";
}

boost::json::object
ToJson(const sassafrasknot::state::Difference& aDifference)
{
  boost::json::array flows;
  for (const auto& [service, port, effect] : aDifference.mFlows) {
    flows.push_back(
      boost::json::object{ { "organisation", service.mOrganisation.mValue },
                           { "service", service.mName },
                           { "port", port },
                           { "established", ToString(effect) } });
  }
  return { { "changes", ToJson(aDifference.mChanges) },
           { "flows", std::move(flows) } };
}

} // namespace sassafrasknotctl
