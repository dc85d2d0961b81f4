#ifndef SASSAFRASKNOT_REVIEW_TARGET_HPP
#define SASSAFRASKNOT_REVIEW_TARGET_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net.hpp"
#include "record.hpp"

namespace review {

/// @brief An upstream: it accepts flows, answers each request after its work
/// time, and answers health checks.
class Target : public std::enable_shared_from_this<Target>
{
public:
  /// @param aTag number that the datagrams for this target begin with; its id
  /// is "i-" and the tag's hexadecimal digits
  Target(io_context& aContext,
         Record& aRecord,
         std::uint64_t aTag,
         std::string aService,
         const Endpoint& aAddress);
  void Start();
  std::string Id() const;
  /// @brief Returns the target's entry in the store.
  std::string Entry(const std::string& aZone) const;
  /// @brief Returns whether a flow is open here.
  bool HasOpen(const FlowKey& aKey) const;

  /// Called when a request begins to run.
  std::function<void(const FlowKey&, const std::string& aRequest)> mOnRun;
  const Endpoint mAddress;
  const std::string mService;

private:
  struct Flow
  {
    bool mOpen = false;
    std::uint32_t mSequence = 0;
    std::uint32_t mExpected = 0;
    std::uint32_t mEcho = 0;
    std::string mReceived;
    std::string mUnacknowledged;
  };

  void Receive(std::string_view aBytes);
  void OnPacket(const Packet& aPacket);
  void OnOpening(const FlowKey& aKey, const Packet& aPacket);
  void OnData(const FlowKey& aKey, Flow& aFlow, const Packet& aPacket);
  void Run(const FlowKey& aKey, const std::string& aRequest);
  void SendAnswer(const FlowKey& aKey, std::uint32_t aSequence, int aTry);
  void Send(const FlowKey& aKey, Packet aPacket);

  io_context& mContext;
  Record& mRecord;
  std::uint64_t mTag;
  std::shared_ptr<DatagramSocket> mSocket;
  std::shared_ptr<HttpServer> mHealth;
  std::map<FlowKey, Flow> mFlows;
  std::uint32_t mNextSequence;
};

} // namespace review

#endif
