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

/// @brief Sends the response to an RPC, or the error that ends the RPC. If it
/// is not called, the RPC fails with Unavailable when the last copy of the
/// callback is destroyed.
template<typename Response>
using ReplyCallback = std::function<void(state::Result<Response>)>;

/// @brief Functions that the gRPC services call, on gRPC's threads. They must
/// return at once and may reply later from any thread.
struct ControlHandlers
{
  /// A peer requests what it lacks of the configuration and the members.
  std::function<void(coordination::ControlMessage,
                     ReplyCallback<coordination::ControlMessage>)>
    mOnPull;
  /// The previous owner of shards, the first argument, sends the records of
  /// their flows.
  std::function<void(state::InstanceId,
                     coordination::HandoverBatch,
                     ReplyCallback<coordination::HandoverAcknowledgement>)>
    mOnHandover;
  /// An operator requests the dump, a JSON object.
  std::function<void(ReplyCallback<std::string>)> mOnDump;
  /// An operator requests the counters in the Prometheus text format.
  std::function<void(ReplyCallback<std::string>)> mOnCounters;
  /// An operator requests a planned stop.
  std::function<void()> mOnDrain;
};

/// @brief Serves the gRPC services ConfigurationSync, Handover and Operator.
class ControlServer
{
public:
  /// @brief Starts the server.
  /// @param aListen TCP endpoint to listen on; no other socket may use it
  /// @param aHandlers functions that process the calls
  /// @return the server, or Unavailable if it cannot listen on the endpoint
  static state::Result<std::unique_ptr<ControlServer>> Start(
    const state::Endpoint& aListen,
    ControlHandlers aHandlers);

  /// @brief Stops the server. Calls that have no reply after 500 ms are
  /// cancelled; waits until all calls have ended.
  ~ControlServer();

  /// @brief Rejects further calls; no handler runs after this has returned.
  void Close();

private:
  struct Impl;
  explicit ControlServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
