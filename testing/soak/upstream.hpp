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

#include "relay.hpp"
#include "stand_ins.hpp"

namespace soak {

using Clock = std::chrono::steady_clock;
using sassafrasknot::testing::WirePacket;

/// @brief The two ends of a flow: caller, then service.
using FlowEnds = std::pair<Endpoint, Endpoint>;

/// @brief What an upstream tells its run.
struct UpstreamEvents
{
  /// A flow's opening packet was accepted; with the sending instance.
  std::function<void(const FlowEnds&, const Endpoint&)> mOpening;
  /// A flow opens here.
  std::function<void(const FlowEnds&)> mOpened;
  /// A packet came that its sender did not write so, or not for this upstream.
  std::function<void(const FlowEnds&, const std::string&)> mForged;
  /// A packet of a flow came that this upstream does not hold.
  std::function<void(const FlowEnds&, const Endpoint&)> mUnknownFlow;
  /// A request begins to run.
  std::function<void(const std::string& aRequest)> mRuns;
};

/// @brief An upstream of the platform: it answers requests of flows that open
/// at it, after a work time.
class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
  Upstream(boost::asio::io_context& aContext,
           std::uint64_t aLabel,
           std::string aService,
           const Endpoint& aEndpoint,
           UpstreamEvents aEvents);
  void Start(std::uint32_t aSeed);
  /// @brief Falls silent for good and forgets its flows.
  void Stop();
  /// @brief Takes a datagram as if an instance had sent it.
  void Receive(const Endpoint& aFrom, const std::vector<char>& aBytes);
  /// @brief Loses its flows, as a process that has started again.
  void ForgetFlows();

  /// Returns whether packets from an instance arrive.
  std::function<bool(const Endpoint&)> mReachedFrom;
  bool mDraining = false;
  const std::uint64_t mLabel;
  const std::string mService;
  const Endpoint mEndpoint;
  bool mStopped = false;

private:
  struct Flow
  {
    bool mOpen = false;
    std::uint32_t mSequence = 0; ///< Of the next byte that it sends.
    std::uint32_t mAcknowledged = 0;
    std::uint32_t mExpected = 0; ///< Of the caller's next byte.
    std::uint32_t mEcho = 0;
    std::string mReceived;
    std::string mUnacknowledged;
  };

  void OnPacket(const Endpoint& aFrom, const WirePacket& aPacket);
  void OnOpening(const Endpoint& aFrom, const WirePacket& aPacket);
  void OnData(Flow& aFlow, const FlowEnds& aEnds, const WirePacket& aPacket);
  void Run(const FlowEnds& aEnds, const std::string& aRequest);
  void Answer(const FlowEnds& aEnds, const std::string& aAnswer);
  void Retransmit(const FlowEnds& aEnds, std::uint32_t aSequence, int aTry);
  void SendData(const FlowEnds& aEnds, const Flow& aFlow);
  void Send(const FlowEnds& aEnds, WirePacket aPacket);

  boost::asio::io_context& mContext;
  UpstreamEvents mEvents;
  std::shared_ptr<Port> mPort;
  std::shared_ptr<sassafrasknot::net::HttpServer> mHealth;
  std::mt19937 mRandom;
  std::map<FlowEnds, Flow> mFlows;
};

} // namespace soak

#endif
