#ifndef SASSAFRASKNOT_TRANSPORT_CONTROL_CLIENT_HPP
#define SASSAFRASKNOT_TRANSPORT_CONTROL_CLIENT_HPP

#include "sassafrasknot/coordination/control_message.hpp"
#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <functional>
#include <memory>

namespace sassafrasknot::transport {

/// @brief Receives the response to an RPC, or the error that ended the RPC.
template<typename Response>
using ResponseCallback = std::function<void(state::Result<Response>)>;

/// @brief Calls the gRPC services of other instances. Safe for use from
/// several threads; callbacks run on gRPC's threads.
class ControlClient
{
public:
  ControlClient();
  /// @brief Cancels all calls and waits until their callbacks have returned.
  /// Calls that are started meanwhile are ignored, and their callbacks are not
  /// run.
  ~ControlClient();

  /// @brief Sends a pull, a request for the configuration records and members
  /// that this instance lacks.
  /// @param aTo control endpoint of the receiver
  /// @param aMessage message whose body is the pull
  /// @param aDone called once with the response; or with Unavailable, Malformed
  /// or DeadlineExceeded (after 5 s)
  void Pull(const state::Endpoint& aTo,
            const coordination::ControlMessage& aMessage,
            const ResponseCallback<coordination::ControlMessage>& aDone);

  /// @brief Sends one batch of flow records to the next owner of their shards.
  /// @param aTo control endpoint of the receiver
  /// @param aSelf id of this instance, sent as the sender of the batch
  /// @param aBatch flow records that the receiver takes over
  /// @param aDone called once with the acknowledgement; or with Unavailable or
  /// DeadlineExceeded (after 2 s)
  void SendHandover(
    const state::Endpoint& aTo,
    const state::InstanceId& aSelf,
    coordination::HandoverBatch aBatch,
    const ResponseCallback<coordination::HandoverAcknowledgement>& aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
