#ifndef SASSAFRASKNOT_SOAK_UPSTREAM_HPP
#define SASSAFRASKNOT_SOAK_UPSTREAM_HPP

#include "sassafrasknot/net/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "relay.hpp"
#include "stand_ins.hpp"

namespace soak {

using Clock = std::chrono::steady_clock;
using sassafrasknot::testing::WirePacket;

/// @brief The two endpoints of a flow: caller, then service.
using FlowEndpoints = std::pair<Endpoint, Endpoint>;

/// @brief Callbacks by which an upstream reports to its run.
struct UpstreamEvents
{
  /// An opening packet arrived; with the endpoint of the sending instance.
  std::function<void(const FlowEndpoints&, const Endpoint&)> mOnOpeningReceived;
  /// A flow opened at this upstream.
  std::function<void(const FlowEndpoints&)> mOnFlowOpened;
  /// A packet cannot be decoded, or its checksum is wrong; with a description.
  std::function<void(const FlowEndpoints&, const std::string&)>
    mOnInvalidPacket;
  /// A packet arrived of a flow that is not open here; with the endpoint of the
  /// sending instance.
  std::function<void(const FlowEndpoints&, const Endpoint&)> mOnUnknownFlow;
  /// A request starts to run.
  std::function<void(const std::string& aRequest)> mOnRequestStarted;
};

/// @brief A fake upstream of the platform: it accepts flows and answers each
/// request after a random work time.
class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
  /// @brief Binds the upstream's socket.
  /// @param aLabel number that instances put before packets for this upstream;
  /// its id is derived from it
  /// @param aService name of the service
  /// @param aEndpoint endpoint for packets and, by TCP, for health checks
  Upstream(boost::asio::io_context& aContext,
           std::uint64_t aLabel,
           std::string aService,
           const Endpoint& aEndpoint,
           UpstreamEvents aEvents);
  /// @brief Starts to receive packets and to answer health checks.
  /// @param aSeed seed of sequence numbers and work times
  void Start(std::uint32_t aSeed);
  /// @brief Closes its sockets for good and drops its flows.
  void Stop();
  /// @brief Handles a datagram.
  /// @param aFrom endpoint of the sending instance
  /// @param aBytes label and encoded packet
  void Receive(const Endpoint& aFrom, const std::vector<char>& aBytes);
  /// @brief Stops responding, as a process that is stuck does: datagrams are
  /// discarded, none are sent, and health checks connect but get no answer.
  /// Open flows are kept.
  void Silence();
  /// @brief Ends the effect of Silence.
  void Respond();
  /// @brief Processes nothing for a time, as a process without the processor
  /// does, then all packets that have arrived, in order. Health checks that
  /// arrive meanwhile get no answer. Has no effect on a silent upstream.
  void Delay(std::chrono::milliseconds aDuration);
  /// @brief Drops all flows, as a restart of the process does.
  void DropFlows();

  /// Returns whether packets from an instance's endpoint reach this upstream.
  /// Must be set before the start.
  std::function<bool(const Endpoint&)> mIsReachableFrom;
  /// The upstream drains: it closes each open flow with its next answer.
  bool mDraining = false;
  const std::uint64_t mLabel;
  const std::string mService;
  const Endpoint mEndpoint;
  /// Set by Stop.
  bool mStopped = false;
  /// Set by Silence, cleared by Respond.
  bool mIsSilent = false;

private:
  struct Flow
  {
    bool mIsOpen = false;
    std::uint32_t mSequence =
      0; ///< Of the first byte that is not acknowledged.
    std::uint32_t mAcknowledged = 0;     ///< Of the last packet; not read.
    std::uint32_t mExpectedSequence = 0; ///< Of the caller's next byte.
    /// Value from the last packet received, sent back with each packet.
    std::uint32_t mEcho = 0;
    /// Bytes of the next request received so far.
    std::string mReceived;
    /// Answer that the caller has not acknowledged in full.
    std::string mUnacknowledged;
  };

  /// Starts to answer health checks.
  void OpenHealth();
  /// Leaves health checks without an answer until OpenHealth.
  void CloseHealth();
  /// Processes what has arrived during Delay.
  void Resume();
  void OnPacket(const Endpoint& aFrom, const WirePacket& aPacket);
  void OnOpening(const Endpoint& aFrom, const WirePacket& aPacket);
  void OnData(Flow& aFlow,
              const FlowEndpoints& aEndpoints,
              const WirePacket& aPacket);
  /// Starts the work of a request; its answer follows after the work time.
  void RunRequest(const FlowEndpoints& aEndpoints, const std::string& aRequest);
  void SendAnswer(const FlowEndpoints& aEndpoints, const std::string& aAnswer);
  /// Schedules retransmissions of the answer that starts at a sequence number,
  /// until it is acknowledged.
  void Retransmit(const FlowEndpoints& aEndpoints,
                  std::uint32_t aSequence,
                  int aRetransmission);
  void SendData(const FlowEndpoints& aEndpoints, const Flow& aFlow);
  void Send(const FlowEndpoints& aEndpoints, WirePacket aPacket);

  boost::asio::io_context& mContext;
  UpstreamEvents mEvents;
  std::shared_ptr<DatagramSocket> mSocket;
  std::shared_ptr<sassafrasknot::net::HttpServer> mHealth;
  /// Open in place of mHealth during Silence and Delay; accepts no connection.
  boost::asio::ip::tcp::acceptor mUnansweredHealth;
  std::mt19937 mRandom;
  std::map<FlowEndpoints, Flow> mFlows;
  bool mIsDelayed = false;
  /// Packets to receive and to send after Delay.
  std::vector<std::function<void()>> mDelayed;
};

} // namespace soak

#endif
