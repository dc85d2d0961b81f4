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

/// @brief What a caller asks for.
enum class RequestKind : std::uint8_t
{
  Feed,         ///< Idempotent; many requests on one flow.
  Confirmation, ///< Runs once at most.
  Upload,       ///< Runs once at most, with a long body.
};

/// @brief How a request ended for its caller.
enum class Outcome : std::uint8_t
{
  Served,
  NotRun,  ///< No try's flow ever opened.
  Unknown, ///< A flow broke, or the deadline passed; it may have run.
};

/// @brief What a caller tells its run.
struct CallerEvents
{
  /// Sends a packet into the system; the platform's routers choose where.
  std::function<void(std::size_t aCaller, const FlowEnds&, const std::string&)>
    mSend;
  /// A flow got its first answer.
  std::function<void(const FlowEnds&)> mOpened;
  /// A reset came from an instance.
  std::function<void(const FlowEnds&, const Endpoint& aFrom)> mReset;
  std::function<void(const FlowEnds&, const std::string&)> mForged;
  /// A try whose flow never opened has ended, and its request has not run.
  std::function<void(const std::string& aRequest)> mNotRun;
  std::function<void(Outcome, Clock::time_point aBegan)> mEnded;
};

/// @brief A caller's address with many flows.
class Caller : public std::enable_shared_from_this<Caller>
{
public:
  Caller(boost::asio::io_context& aContext,
         std::size_t aNumber,
         const Endpoint& aEndpoint,
         CallerEvents aEvents);
  void Start();
  /// @brief Begins a request on a flow of its own, or a feed with many.
  void Ask(RequestKind aKind, const Endpoint& aService);
  /// @brief Sends a single opening packet to an instance and tells whether it
  /// was accepted (true), refused (false) or not answered.
  void Probe(const Endpoint& aService,
             const Endpoint& aInstance,
             std::function<void(const FlowEnds&, std::optional<bool>)> aDone);
  /// @brief Sends a datagram to an instance.
  void SendTo(const Endpoint& aInstance, const std::string& aBytes);
  /// @brief Takes a datagram.
  void Receive(const Endpoint& aFrom, const std::vector<char>& aBytes);

private:
  struct Flow;

  void Open(const std::shared_ptr<Flow>& aFlow);
  void SendOpening(const std::shared_ptr<Flow>& aFlow, std::uint32_t aCopy);
  void BeginRequest(const std::shared_ptr<Flow>& aFlow);
  void SendPending(const std::shared_ptr<Flow>& aFlow);
  void Retransmit(const std::shared_ptr<Flow>& aFlow, int aTry);
  void SendPacket(const Flow& aFlow, WirePacket aPacket);
  void OnReset(const std::shared_ptr<Flow>& aFlow,
               const Endpoint& aFrom,
               const WirePacket& aPacket);
  void OnAnswer(const std::shared_ptr<Flow>& aFlow, const WirePacket& aPacket);
  void Complete(const std::shared_ptr<Flow>& aFlow);
  void Fail(const std::shared_ptr<Flow>& aFlow);
  void Close(const std::shared_ptr<Flow>& aFlow);

  boost::asio::io_context& mContext;
  std::size_t mNumber;
  Endpoint mEndpoint;
  CallerEvents mEvents;
  std::shared_ptr<Port> mPort;
  std::map<FlowEnds, std::shared_ptr<Flow>> mFlows;
  std::uint16_t mNextPort = 10000;
  std::uint64_t mNextRequest = 0;
};

} // namespace soak

#endif
