#ifndef SASSAFRASKNOT_PROTOCOL_JSON_READER_HPP
#define SASSAFRASKNOT_PROTOCOL_JSON_READER_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/ranges.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include <boost/json/value.hpp>

namespace sassafrasknot::protocol {

/// @brief Reads the members of one JSON object. The first fault is kept and
/// everything read after it is meaningless, so that callers check once at the
/// end.
class JsonReader
{
public:
  /// @brief Starts to read an object.
  /// @param aFailure receives the first fault
  /// @param aValue the object
  /// @param aPlace its path
  /// @param aMembers all members that it may have
  JsonReader(std::optional<state::Error>& aFailure,
             const boost::json::value& aValue,
             std::string aPlace,
             std::span<const std::string_view> aMembers);

  bool Has(std::string_view aMember) const;
  const std::string& Place() const { return mPlace; }

  /// @brief Reads a whole number in a range; absent members take the default,
  /// or are a fault if there is none.
  std::uint64_t Integer(std::string_view aMember,
                        const state::Range<std::uint64_t>& aRange,
                        std::optional<std::uint64_t> aDefault = {});
  double Number(std::string_view aMember,
                const state::Range<double>& aRange,
                std::optional<double> aDefault = {});
  std::chrono::milliseconds Milliseconds(
    std::string_view aMember,
    const state::Range<std::uint64_t>& aRange,
    std::optional<std::chrono::milliseconds> aDefault = {});
  bool Boolean(std::string_view aMember, std::optional<bool> aDefault = {});
  std::string String(std::string_view aMember);
  /// @brief Reads a name that state::IsName accepts.
  std::string Name(std::string_view aMember);
  state::Ipv4Address Address(std::string_view aMember);
  state::Endpoint Endpoint(std::string_view aMember);

  /// @brief Reads one of several words.
  /// @return the value that stands beside the word
  template<typename T, std::size_t Count>
  T Choice(std::string_view aMember,
           const std::pair<std::string_view, T> (&aChoices)[Count],
           std::optional<T> aDefault = {})
  {
    if (!Has(aMember) && aDefault) {
      return *aDefault;
    }
    const auto text = String(aMember);
    std::string allowed;
    for (const auto& [word, value] : aChoices) {
      if (word == text) {
        return value;
      }
      allowed += (allowed.empty() ? "" : " or ") + std::string(word);
    }
    Fail(aMember, "must be " + allowed);
    return aChoices[0].second;
  }

  /// @brief Reads an array; a required one if it has no default.
  /// @param aMember its name
  /// @param aCount how many elements it may have
  /// @param aRead reads one element at a path
  void Array(
    std::string_view aMember,
    const state::Range<std::uint64_t>& aCount,
    const std::function<void(const boost::json::value&, std::string)>& aRead);

  /// @brief Returns a required member, or null after a fault.
  const boost::json::value* Find(std::string_view aMember);
  void Fail(std::string_view aMember, std::string_view aMessage);
  std::string PlaceOf(std::string_view aMember) const;

private:
  std::optional<state::Error>& mFailure;
  const boost::json::object* mObject = nullptr;
  std::string mPlace;
};

} // namespace sassafrasknot::protocol

#endif
