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

/// @brief Takes the answer to a call.
template<typename Answer>
using AnswerCallback = std::function<void(state::Result<Answer>)>;

/// @brief Calls the gRPC services of other instances. Safe for use from
/// several threads; answers arrive on gRPC's threads.
class ControlClient
{
public:
  ControlClient();
  /// @brief Cancels all calls and waits for their answers.
  ~ControlClient();

  /// @brief Sends a pull.
  /// @param aTo control endpoint of the receiver
  /// @param aMessage the pull
  /// @param aDone is called once with the answer; Unavailable, Malformed or
  /// DeadlineExceeded (5 s)
  void Pull(const state::Endpoint& aTo,
            const coordination::ControlMessage& aMessage,
            const AnswerCallback<coordination::ControlMessage>& aDone);

  /// @brief Sends a batch of a hand-over.
  /// @param aTo control endpoint of the receiver
  /// @param aSelf this instance
  /// @param aBatch the batch
  /// @param aDone is called once with the answer; Unavailable or
  /// DeadlineExceeded (2 s)
  void SendHandover(
    const state::Endpoint& aTo,
    const state::InstanceId& aSelf,
    coordination::HandoverBatch aBatch,
    const AnswerCallback<coordination::HandoverAcknowledgement>& aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
