// Encodes a message between two instances and decodes it again.
#include "sassafrasknot/messages/fleet_codec.hpp"

#include <iostream>

int
main()
{
  using namespace sassafrasknot;
  fleet::FleetMessage message;
  message.mSender = { { { 0x0A010203 }, 7720 }, { "kandy" }, 1 };
  message.mRevision = 12;
  message.mLoads = std::vector{ fleet::UpstreamLoadEntry{ 77, { 3, 1 } } };
  const auto bytes = messages::EncodeMessage(message);
  const auto decoded = messages::DecodeMessage(
    { reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() });
  if (!decoded) {
    std::cerr << decoded.error().mMessage << '\n';
    return 1;
  }
  std::cout << bytes.size() << " bytes from "
            << ToString(decoded.value().mSender.mEndpoint) << '\n';
  return decoded.value().mRevision == message.mRevision ? 0 : 1;
}
