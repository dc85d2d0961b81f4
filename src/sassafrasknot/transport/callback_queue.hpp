#ifndef SASSAFRASKNOT_TRANSPORT_CALLBACK_QUEUE_HPP
#define SASSAFRASKNOT_TRANSPORT_CALLBACK_QUEUE_HPP

namespace sassafrasknot::transport {

/// @brief Keeps gRPC's shared callback queue alive until the process ends.
/// gRPC 1.51 destroys the queue together with the last channel or server, while
/// its own threads may still use it, which aborts the process.
void
KeepCallbackQueue();

} // namespace sassafrasknot::transport

#endif
