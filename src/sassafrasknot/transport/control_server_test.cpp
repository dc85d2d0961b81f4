#include "sassafrasknot/transport/control_client.hpp"
#include "sassafrasknot/transport/control_server.hpp"

#include <future>

#include "free_endpoint.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::transport {
namespace {

using coordination::ControlMessage;
using coordination::HandoverAcknowledgement;
using coordination::HandoverBatch;

ControlMessage
MakeMessage(coordination::ControlBody aBody)
{
  ControlMessage message;
  message.mSender.mId = { "a" };
  message.mSender.mDataCentre = { "dc" };
  message.mBody = std::move(aBody);
  return message;
}

state::Result<ControlMessage>
Exchange(ControlClient& aClient, const state::Endpoint& aTo)
{
  std::promise<state::Result<ControlMessage>> answer;
  aClient.Pull(aTo,
               MakeMessage(coordination::Pull{ 7, { "key" }, {} }),
               [&](auto aAnswer) { answer.set_value(aAnswer); });
  return answer.get_future().get();
}

state::Result<HandoverAcknowledgement>
TakeOver(ControlClient& aClient, const state::Endpoint& aTo)
{
  std::promise<state::Result<HandoverAcknowledgement>> answer;
  aClient.SendHandover(aTo,
                       { "a" },
                       HandoverBatch{ 5, true, {} },
                       [&](auto aAnswer) { answer.set_value(aAnswer); });
  return answer.get_future().get();
}

// Guards against calls whose content or answer is lost on the way.
TEST(ControlServer, AnswersPullsAndBatches)
{
  ControlHandlers handlers;
  handlers.mOnPull = [](const ControlMessage& aMessage, const auto& aReply) {
    const auto& pull = std::get<coordination::Pull>(aMessage.mBody);
    aReply(MakeMessage(coordination::PullResponse{ pull.mToken, {}, {}, {} }));
  };
  handlers.mOnHandover =
    [](const auto& aFrom, const auto& aBatch, const auto& aReply) {
      EXPECT_EQ(aFrom.mValue, "a");
      EXPECT_TRUE(aBatch.mLast);
      aReply(HandoverAcknowledgement{ aBatch.mBatch });
    };
  const auto endpoint = FreeEndpoint();
  const auto server = ControlServer::Start(endpoint, handlers);
  ASSERT_TRUE(server.has_value());
  ControlClient client;
  const auto answer = Exchange(client, endpoint);
  ASSERT_TRUE(answer.has_value()) << answer.error().mMessage;
  EXPECT_EQ(std::get<coordination::PullResponse>(answer.value().mBody).mToken,
            7);
  const auto taken = TakeOver(client, endpoint);
  ASSERT_TRUE(taken.has_value()) << taken.error().mMessage;
  EXPECT_EQ(taken.value().mBatch, 5);
}

// Guards against a call that hangs because its handler gave up on it or the
// instance is ending.
TEST(ControlServer, EndsCallsWithoutAReply)
{
  ControlHandlers handlers;
  handlers.mOnPull = [](const auto&, const auto&) {};
  handlers.mOnHandover = [](const auto&, const auto&, const auto&) {};
  const auto endpoint = FreeEndpoint();
  const auto server = ControlServer::Start(endpoint, handlers);
  ASSERT_TRUE(server.has_value());
  ControlClient client;
  EXPECT_EQ(Exchange(client, endpoint).error().mCode,
            state::ErrorCode::Unavailable);
  server.value()->Close();
  EXPECT_EQ(TakeOver(client, endpoint).error().mCode,
            state::ErrorCode::Unavailable);
}

// Guards against two processes that share a control endpoint silently.
TEST(ControlServer, RefusesAnEndpointInUse)
{
  const auto endpoint = FreeEndpoint();
  const auto first = ControlServer::Start(endpoint, {});
  ASSERT_TRUE(first.has_value());
  EXPECT_FALSE(ControlServer::Start(endpoint, {}).has_value());
}

// Guards against a client whose end waits for an instance that is silent.
TEST(ControlClient, EndsWithCallsInFlight)
{
  std::promise<state::Result<HandoverAcknowledgement>> answer;
  {
    ReplyCallback<HandoverAcknowledgement> kept;
    ControlHandlers handlers;
    std::promise<void> called;
    handlers.mOnHandover = [&](const auto&, const auto&, const auto& aReply) {
      kept = aReply;
      called.set_value();
    };
    const auto endpoint = FreeEndpoint();
    const auto server = ControlServer::Start(endpoint, handlers);
    ASSERT_TRUE(server.has_value());
    ControlClient client;
    client.SendHandover(endpoint,
                        { "a" },
                        HandoverBatch{ 5, true, {} },
                        [&](auto aAnswer) { answer.set_value(aAnswer); });
    called.get_future().get();
    kept = nullptr;
  }
  EXPECT_FALSE(answer.get_future().get().has_value());
}

} // namespace
} // namespace sassafrasknot::transport
