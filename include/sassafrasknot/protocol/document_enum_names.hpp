#ifndef SASSAFRASKNOT_PROTOCOL_DOCUMENT_ENUM_NAMES_HPP
#define SASSAFRASKNOT_PROTOCOL_DOCUMENT_ENUM_NAMES_HPP

#include "sassafrasknot/state/document.hpp"

#include <string_view>
#include <utility>

namespace sassafrasknot::protocol {

// The text of each enumerator in JSON documents.
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

/// @brief Returns the text of an enumerator.
/// @param aNames one of the tables above
/// @param aValue the enumerator
/// @return its text, or the first text of the table if it has none
template<typename T, std::size_t Count>
std::string_view
EnumName(const std::pair<std::string_view, T> (&aNames)[Count], T aValue)
{
  for (const auto& [name, value] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return aNames[0].first;
}

} // namespace sassafrasknot::protocol

#endif
