#ifndef SASSAFRASKNOT_PROTOCOL_PEER_CONVERT_HPP
#define SASSAFRASKNOT_PROTOCOL_PEER_CONVERT_HPP

#include "sassafrasknot/coordination/control_message.hpp"
#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/protocol/peer_message.hpp"

#include "generated/peer.pb.h"

namespace sassafrasknot::protocol {

// Conversions between the project's types and the generated protobuf types
// ("wire"). Each FromWire returns false if a field is out of range or a message
// has no body; the target is then unspecified.

// An endpoint is encoded as the IPv4 address times 2^16 plus the port.

std::uint64_t
ToWire(const state::Endpoint& aEndpoint);
bool
FromWire(std::uint64_t aWire, state::Endpoint& aEndpoint);

void
ToWire(const coordination::TrafficMessage& aMessage,
       peer::TrafficMessage& aWire);
bool
FromWire(const peer::TrafficMessage& aWire,
         coordination::TrafficMessage& aMessage);

void
ToWire(const TrafficEnvelope& aEnvelope, peer::TrafficEnvelope& aWire);
bool
FromWire(const peer::TrafficEnvelope& aWire, TrafficEnvelope& aEnvelope);

void
ToWire(const coordination::ControlMessage& aMessage,
       peer::ControlMessage& aWire);
bool
FromWire(const peer::ControlMessage& aWire,
         coordination::ControlMessage& aMessage);

} // namespace sassafrasknot::protocol

#endif
