#include "change_text.hpp"

#include <boost/json/object.hpp>

namespace sassafrasknotctl {

std::string
ToText(const sassafrasknot::state::Change& aChange)
{
  auto text = std::string(ToString(aChange.mKind)) + ' ' + aChange.mKey;
  if (!aChange.mPlace.empty()) {
    text += ' ' + aChange.mPlace;
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
                                         { "place", change.mPlace },
                                         { "message", change.mMessage },
                                         { "danger", change.mDanger } });
  }
  return array;
}

} // namespace sassafrasknotctl
