#ifndef SASSAFRASKNOT_TRANSPORT_CONTROL_SERVER_HPP
#define SASSAFRASKNOT_TRANSPORT_CONTROL_SERVER_HPP

#include "sassafrasknot/coordination/control_message.hpp"
#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"

#include <functional>
#include <memory>
#include <string>

namespace sassafrasknot::transport {

/// @brief Takes the answer to a call. Without an answer the call fails as
/// unavailable when the last copy is destroyed.
template<typename Answer>
using ReplyCallback = std::function<void(state::Result<Answer>)>;

/// @brief What the gRPC services call, on gRPC's threads. The functions must
/// return at once and may reply later from any thread.
struct ControlHandlers
{
  std::function<void(coordination::ControlMessage,
                     ReplyCallback<coordination::ControlMessage>)>
    mOnPull;
  std::function<void(state::InstanceId,
                     coordination::HandoverBatch,
                     ReplyCallback<coordination::HandoverAcknowledgement>)>
    mOnHandover;
  std::function<void(ReplyCallback<std::string>)> mOnDump;
  std::function<void(ReplyCallback<std::string>)> mOnCounters;
  std::function<void()> mOnDrain;
};

/// @brief Serves ConfigurationSync, Handover and Operator.
class ControlServer
{
public:
  /// @brief Starts the server.
  /// @param aListen TCP endpoint; one in use is refused
  /// @param aHandlers what is called
  /// @return the server, or Unavailable
  static state::Result<std::unique_ptr<ControlServer>> Start(
    const state::Endpoint& aListen,
    ControlHandlers aHandlers);

  /// @brief Ends the server; waits for the replies that are due.
  ~ControlServer();

  /// @brief Refuses further calls; no handler runs after the return.
  void Close();

private:
  struct Impl;
  explicit ControlServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
