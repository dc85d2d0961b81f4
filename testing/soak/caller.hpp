#ifndef SASSAFRASKNOT_SOAK_CALLER_HPP
#define SASSAFRASKNOT_SOAK_CALLER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "relay.hpp"
#include "upstream.hpp"

namespace soak {

/// @brief Kind of requests that a caller sends on a flow.
enum class FlowKind : std::uint8_t
{
  Feed,         ///< Idempotent; several requests on one flow.
  Confirmation, ///< Not idempotent: must run at most once.
  Upload,       ///< Must run at most once; has a long body.
};

/// @brief Result of a request as its caller sees it.
enum class Outcome : std::uint8_t
{
  Served,     ///< The caller received the complete answer.
  NotRun,     ///< The flow of the last attempt never opened.
  MayHaveRun, ///< The last attempt's flow opened, then broke or timed out.
};

/// @brief Callbacks by which a caller reports to its run.
struct CallerEvents
{
  /// Sends an encoded packet to an instance that the platform's routers choose.
  std::function<
    void(std::size_t aCaller, const FlowEndpoints&, const std::string&)>
    mSendPacket;
  /// The answer to a flow's opening packet arrived.
  std::function<void(const FlowEndpoints&)> mOnFlowOpened;
  /// A reset arrived that an instance, not the upstream, has created.
  std::function<void(const FlowEndpoints&, const Endpoint& aFrom)> mOnReset;
  /// A packet cannot be decoded or was altered, or an answer belongs to another
  /// request; with a description.
  std::function<void(const FlowEndpoints&, const std::string&)>
    mOnInvalidPacket;
  /// An attempt ended whose flow never opened, so its request cannot have run.
  std::function<void(const std::string& aRequest)> mOnNotRun;
  /// A request ended; with the time on the steady clock at which it started.
  std::function<void(Outcome, Clock::time_point aStartTime)> mOnRequestEnded;
};

/// @brief A fake caller: one address with many flows. It retransmits packets
/// and repeats requests as the callers of the platform do.
class Caller : public std::enable_shared_from_this<Caller>
{
public:
  /// @brief Binds the caller's socket.
  /// @param aNumber number of the caller, the first part of its request ids
  /// @param aEndpoint endpoint that receives the packets of all flows
  Caller(boost::asio::io_context& aContext,
         std::size_t aNumber,
         const Endpoint& aEndpoint,
         CallerEvents aEvents);
  /// @brief Starts to receive packets.
  void Start();
  /// @brief Starts one request on a new flow, or a feed with several requests
  /// on one flow.
  /// @param aService service endpoint of the flow
  void StartRequest(FlowKind aKind, const Endpoint& aService);
  /// @brief Sends a single opening packet to an instance, past the routers.
  /// @param aService service endpoint of the flow
  /// @param aInstance traffic endpoint of the instance
  /// @param aDone receives the flow, and whether it was accepted (true),
  /// refused (false) or not answered in time (nothing)
  void Probe(
    const Endpoint& aService,
    const Endpoint& aInstance,
    std::function<void(const FlowEndpoints&, std::optional<bool>)> aDone);
  /// @brief Sends a datagram to an instance.
  /// @param aInstance traffic endpoint of the instance
  /// @param aBytes encoded packet
  void SendTo(const Endpoint& aInstance, const std::string& aBytes);
  /// @brief Handles a datagram.
  /// @param aFrom endpoint of the sender
  /// @param aBytes encoded packet
  void Receive(const Endpoint& aFrom, const std::vector<char>& aBytes);

private:
  struct Flow;

  /// Opens a flow from a new port, with a new request id.
  void OpenFlow(const std::shared_ptr<Flow>& aFlow);
  /// Sends the opening packet; aRetransmission counts from 0, the first one.
  void SendOpening(const std::shared_ptr<Flow>& aFlow,
                   std::uint32_t aRetransmission);
  /// Sends the request of an open flow and starts its deadline.
  void BeginRequest(const std::shared_ptr<Flow>& aFlow);
  /// Sends the bytes of the request that are not acknowledged.
  void SendPending(const std::shared_ptr<Flow>& aFlow);
  /// Schedules retransmissions until all bytes are acknowledged.
  void Retransmit(const std::shared_ptr<Flow>& aFlow, int aRetransmission);
  /// Sends a packet to the routers, with the flow's endpoints and a checksum.
  void SendPacket(const Flow& aFlow, WirePacket aPacket);
  /// Handles a reset: reports one of an instance and fails the attempt.
  void OnReset(const std::shared_ptr<Flow>& aFlow,
               const Endpoint& aFrom,
               const WirePacket& aPacket);
  /// Handles a packet of the upstream that is not a reset: opens the flow,
  /// removes acknowledged bytes of the request or appends data of the answer.
  void OnAnswer(const std::shared_ptr<Flow>& aFlow, const WirePacket& aPacket);
  /// Ends an answered request; a feed schedules its next one.
  void CompleteRequest(const std::shared_ptr<Flow>& aFlow);
  /// Ends a flow that broke or timed out, and repeats its request if that is
  /// safe.
  void FailAttempt(const std::shared_ptr<Flow>& aFlow);
  /// Ends a flow on the caller's initiative, with a FIN.
  void CloseFlow(const std::shared_ptr<Flow>& aFlow);

  boost::asio::io_context& mContext;
  std::size_t mNumber;
  Endpoint mEndpoint;
  CallerEvents mEvents;
  std::shared_ptr<DatagramSocket> mSocket;
  std::map<FlowEndpoints, std::shared_ptr<Flow>> mFlows;
  std::uint16_t mNextPort = 10000;
  std::uint64_t mNextRequest = 0;
};

} // namespace soak

#endif
