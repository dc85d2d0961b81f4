#ifndef SASSAFRASKNOT_PROTOCOL_TEXT_MUTATION_TEST_HPP
#define SASSAFRASKNOT_PROTOCOL_TEXT_MUTATION_TEST_HPP

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace sassafrasknot::protocol {

/// @brief Changes up to eight places of a text for fuzz tests: replaces,
/// erases, repeats or inserts bytes.
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
