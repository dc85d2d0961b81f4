#ifndef SASSAFRASKNOT_PROTOCOL_TEXT_MUTATION_TEST_HPP
#define SASSAFRASKNOT_PROTOCOL_TEXT_MUTATION_TEST_HPP

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace sassafrasknot::protocol {

/// @brief Makes one to eight random changes to a text for fuzz tests. Each
/// replaces a byte, erases some or inserts a repetition of some.
/// @param aText text to change, normally valid input
/// @param aRandom source of randomness
/// @return the changed text
inline std::string
MutateText(std::string_view aText, std::mt19937_64& aRandom)
{
  constexpr std::string_view kSyntax = "{}[]\",:0-.e\\/ntf";
  std::string text(aText);
  for (auto changes = 1 + aRandom() % 8; changes > 0 && !text.empty();
       --changes) {
    const std::size_t index = aRandom() % text.size();
    switch (aRandom() % 4) {
      case 0:
        text[index] = static_cast<char>(aRandom());
        break;
      case 1:
        text.erase(index, 1 + aRandom() % 20);
        break;
      case 2:
        text.insert(index, text.substr(aRandom() % text.size(), 30));
        break;
      default:
        text[index] = kSyntax[aRandom() % kSyntax.size()];
    }
  }
  return text;
}

} // namespace sassafrasknot::protocol

#endif
