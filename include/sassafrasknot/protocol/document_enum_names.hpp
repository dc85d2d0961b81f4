#ifndef SASSAFRASKNOT_PROTOCOL_DOCUMENT_ENUM_NAMES_HPP
#define SASSAFRASKNOT_PROTOCOL_DOCUMENT_ENUM_NAMES_HPP

#include "sassafrasknot/state/document.hpp"

#include <string_view>
#include <utility>

namespace sassafrasknot::protocol {

/// Words of the documents and the values that they stand for.
inline constexpr std::pair<std::string_view, state::TransportProtocol>
  kProtocolNames[] = { { "tcp", state::TransportProtocol::Tcp },
                       { "udp", state::TransportProtocol::Udp } };

inline constexpr std::pair<std::string_view, state::FlowClass>
  kFlowClassNames[] = { { "feed", state::FlowClass::Feed },
                        { "work", state::FlowClass::Work },
                        { "long", state::FlowClass::Long } };

inline constexpr std::pair<std::string_view, state::UpstreamState>
  kUpstreamStateNames[] = { { "live", state::UpstreamState::Live },
                            { "leaving", state::UpstreamState::Leaving } };

inline constexpr std::pair<std::string_view, state::InstanceState>
  kInstanceStateNames[] = { { "live", state::InstanceState::Live },
                            { "leaving", state::InstanceState::Leaving } };

/// @brief Returns the word of a value.
/// @param aWords the words
/// @param aValue the value
/// @return its word; the first one if there is none
template<typename T, std::size_t Count>
std::string_view
EnumName(const std::pair<std::string_view, T> (&aWords)[Count], T aValue)
{
  for (const auto& [word, value] : aWords) {
    if (value == aValue) {
      return word;
    }
  }
  return aWords[0].first;
}

} // namespace sassafrasknot::protocol

#endif
