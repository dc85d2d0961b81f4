#include "change_text.hpp"

#include <boost/json/object.hpp>

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

} // namespace sassafrasknotctl
