#ifndef SASSAFRASKNOT_TRANSPORT_NODE_HPP
#define SASSAFRASKNOT_TRANSPORT_NODE_HPP

#include "sassafrasknot/protocol/settings.hpp"
#include "sassafrasknot/state/error.hpp"

#include <memory>

namespace sassafrasknot::transport {

/// @brief One instance of the load balancer: control thread, traffic threads,
/// gRPC services and platform client.
class Node
{
public:
  /// @brief Opens the sockets and starts the traffic threads and gRPC services.
  /// Neither the platform nor peers need to be reachable.
  /// @param aSettings settings of the instance
  /// @return the instance, or Unavailable if an endpoint cannot be used
  static state::Result<std::unique_ptr<Node>> Start(
    const protocol::Settings& aSettings);
  ~Node();

  /// @brief Runs the control loop on the calling thread until a planned stop
  /// has ended. SIGTERM or SIGINT begins a planned stop; a signal during the
  /// stop ends it at once.
  /// @return true if all flows were handed over to other instances
  bool Run();

  /// @brief Begins a planned stop. Safe for use from several threads.
  void Stop();

private:
  struct Impl;
  explicit Node(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
