#ifndef SASSAFRASKNOT_TRANSPORT_CALLBACK_QUEUE_HPP
#define SASSAFRASKNOT_TRANSPORT_CALLBACK_QUEUE_HPP

namespace sassafrasknot::transport {

/// @brief Keeps gRPC's shared callback queue until the process ends. gRPC 1.51
/// destroys the queue with its last channel or server, while its own threads
/// may still be in it, which aborts the process.
void
KeepCallbackQueue();

} // namespace sassafrasknot::transport

#endif
