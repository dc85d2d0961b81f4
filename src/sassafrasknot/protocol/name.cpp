#include "name.hpp"

#include <algorithm>
#include <cctype>

namespace sassafrasknot::protocol {

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= 64 &&
         std::ranges::all_of(aText, [](unsigned char aCharacter) {
           return std::isalnum(aCharacter) != 0 || aCharacter == '.' ||
                  aCharacter == '_' || aCharacter == '-';
         });
}

} // namespace sassafrasknot::protocol
