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

/// @brief Reads the members of one JSON object and checks their types and
/// ranges. The first error is stored, and values read after it are unspecified,
/// so that callers check for an error only once, at the end.
class JsonReader
{
public:
  /// @brief Checks that a value is an object with known members only.
  /// @param aFirstError receives the first error unless it has one already
  /// @param aValue the object; must outlive the reader
  /// @param aLocation path of the object in the document; empty for the root
  /// @param aMembers all members that the object may have
  JsonReader(std::optional<state::Error>& aFirstError,
             const boost::json::value& aValue,
             std::string aLocation,
             std::span<const std::string_view> aMembers);

  /// @brief Returns whether the object has a member.
  bool Has(std::string_view aMember) const;
  /// @brief Returns the path of the object in the document.
  const std::string& Location() const { return mLocation; }

  // Each of the following functions reads one member. An absent member yields
  // the default; without a default its absence is an error.

  /// @brief Reads a whole number in a range.
  std::uint64_t Integer(std::string_view aMember,
                        const state::Range<std::uint64_t>& aRange,
                        std::optional<std::uint64_t> aDefault = {});
  /// @brief Reads a number in a range.
  double Number(std::string_view aMember,
                const state::Range<double>& aRange,
                std::optional<double> aDefault = {});
  /// @brief Reads a whole number of milliseconds in a range.
  std::chrono::milliseconds Milliseconds(
    std::string_view aMember,
    const state::Range<std::uint64_t>& aRange,
    std::optional<std::chrono::milliseconds> aDefault = {});
  /// @brief Reads true or false.
  bool Boolean(std::string_view aMember, std::optional<bool> aDefault = {});
  /// @brief Reads a string of any length.
  std::string String(std::string_view aMember);
  /// @brief Reads a name that state::IsName accepts.
  std::string Name(std::string_view aMember);
  /// @brief Reads an IPv4 address in canonical form, such as "127.0.0.1".
  state::Ipv4Address Address(std::string_view aMember);
  /// @brief Reads an IPv4 address and a port in canonical form, such as
  /// "127.0.0.1:7000".
  state::Endpoint Endpoint(std::string_view aMember);

  /// @brief Reads a string that must be one of several texts.
  /// @param aMember name of the member
  /// @param aChoices allowed texts and the values that they stand for
  /// @param aDefault value of an absent member; without it the member is
  /// required
  /// @return the value of the text
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
    for (const auto& [name, value] : aChoices) {
      if (name == text) {
        return value;
      }
      allowed += (allowed.empty() ? "" : " or ") + std::string(name);
    }
    Fail(aMember, "must be " + allowed);
    return aChoices[0].second;
  }

  /// @brief Reads a required array.
  /// @param aMember name of the member
  /// @param aCount allowed number of elements
  /// @param aRead reads one element, given its path in the document; not called
  /// after an error
  void Array(
    std::string_view aMember,
    const state::Range<std::uint64_t>& aCount,
    const std::function<void(const boost::json::value&, std::string)>& aRead);

  /// @brief Returns a required member, or null with an error if it is absent.
  const boost::json::value* Find(std::string_view aMember);
  /// @brief Stores an error unless there is one already.
  /// @param aMember member that is wrong; empty for the object itself
  /// @param aMessage what is allowed there
  void Fail(std::string_view aMember, std::string_view aMessage);
  /// @brief Returns the path of a member in the document.
  std::string LocationOf(std::string_view aMember) const;

private:
  std::optional<state::Error>& mFirstError;
  const boost::json::object* mObject = nullptr;
  std::string mLocation;
};

} // namespace sassafrasknot::protocol

#endif
