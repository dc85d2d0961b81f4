#ifndef SASSAFRASKNOT_REVIEW_CALLER_HPP
#define SASSAFRASKNOT_REVIEW_CALLER_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "deployment.hpp"

namespace review {

/// @brief Results of a caller's requests.
struct CallerCounts
{
  int mServed = 0;
  int mFailed = 0;
  /// Attempts whose flow never opened because of a reset by the system.
  int mRefused = 0;
};

/// @brief A client: one address with feeds, which are flows that stay open for
/// many idempotent requests.
class Caller : public std::enable_shared_from_this<Caller>
{
public:
  Caller(Deployment& aDeployment, std::size_t aNumber, std::string aZone);
  void Start();
  /// @brief Starts a feed that sends a request, waits and repeats.
  /// @param aFresh each request has a flow of its own
  void StartFeed(const Endpoint& aService,
                 milliseconds aInterval,
                 bool aFresh = false);
  /// @brief Ends all feeds.
  void StopFeeds();

  /// An open flow was reset by the system; with the sender of the reset.
  std::function<void(const FlowKey&, const Endpoint& aFrom)> mOnReset;
  /// A flow opened, or the system refused it; with the time of its opening
  /// packet.
  std::function<void(const FlowKey&, Clock::time_point, bool aOpened)>
    mOnOpening;
  CallerCounts mCounts;

private:
  struct Feed;

  void Open(const std::shared_ptr<Feed>& aFeed);
  void SendOpening(const std::shared_ptr<Feed>& aFeed, std::uint32_t aCopy);
  void SendRequest(const std::shared_ptr<Feed>& aFeed);
  void SendPending(const std::shared_ptr<Feed>& aFeed,
                   std::uint32_t aSequence,
                   int aTry);
  void Send(const Feed& aFeed, Packet aPacket);
  void Receive(const Endpoint& aFrom, std::string_view aBytes);
  void OnReset(const std::shared_ptr<Feed>& aFeed,
               const Endpoint& aFrom,
               const Packet& aPacket);
  void OnAnswer(const std::shared_ptr<Feed>& aFeed, const Packet& aPacket);
  /// Ends the attempt; the request is repeated on a new flow, twice at most.
  void Fail(const std::shared_ptr<Feed>& aFeed);
  /// Ends the flow of an answered request.
  void Close(const std::shared_ptr<Feed>& aFeed);
  void ScheduleNext(const std::shared_ptr<Feed>& aFeed);

  Deployment& mDeployment;
  Endpoint mEndpoint;
  std::string mZone;
  std::shared_ptr<DatagramSocket> mSocket;
  std::map<FlowKey, std::shared_ptr<Feed>> mFlows;
  std::uint16_t mNextPort = 1024;
  std::uint32_t mNextSequence;
  int mNextRequest = 0;
  bool mStopped = false;
};

} // namespace review

#endif
