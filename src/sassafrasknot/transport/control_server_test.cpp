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
SendPull(ControlClient& aClient, const state::Endpoint& aTo)
{
  std::promise<state::Result<ControlMessage>> response;
  aClient.Pull(aTo,
               MakeMessage(coordination::Pull{ 7, { "key" }, {} }),
               [&](auto aResponse) { response.set_value(aResponse); });
  return response.get_future().get();
}

state::Result<HandoverAcknowledgement>
SendBatch(ControlClient& aClient, const state::Endpoint& aTo)
{
  std::promise<state::Result<HandoverAcknowledgement>> response;
  aClient.SendHandover(aTo,
                       { "a" },
                       HandoverBatch{ 5, true, {} },
                       [&](auto aResponse) { response.set_value(aResponse); });
  return response.get_future().get();
}

// Guards against a request or response that loses its content between client
// and server.
TEST(ControlServer, RespondsToPullsAndBatches)
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
  const auto response = SendPull(client, endpoint);
  ASSERT_TRUE(response.has_value()) << response.error().mMessage;
  EXPECT_EQ(std::get<coordination::PullResponse>(response.value().mBody).mToken,
            7);
  const auto acknowledgement = SendBatch(client, endpoint);
  ASSERT_TRUE(acknowledgement.has_value()) << acknowledgement.error().mMessage;
  EXPECT_EQ(acknowledgement.value().mBatch, 5);
}

// Guards against a call that never ends because its handler dropped the reply
// callback or the server is closed.
TEST(ControlServer, FailsCallsWithoutReply)
{
  ControlHandlers handlers;
  handlers.mOnPull = [](const auto&, const auto&) {};
  handlers.mOnHandover = [](const auto&, const auto&, const auto&) {};
  const auto endpoint = FreeEndpoint();
  const auto server = ControlServer::Start(endpoint, handlers);
  ASSERT_TRUE(server.has_value());
  ControlClient client;
  EXPECT_EQ(SendPull(client, endpoint).error().mCode,
            state::ErrorCode::Unavailable);
  server.value()->Close();
  EXPECT_EQ(SendBatch(client, endpoint).error().mCode,
            state::ErrorCode::Unavailable);
}

// Guards against two processes that listen on the same control endpoint
// without an error.
TEST(ControlServer, RejectsEndpointInUse)
{
  const auto endpoint = FreeEndpoint();
  const auto first = ControlServer::Start(endpoint, {});
  ASSERT_TRUE(first.has_value());
  EXPECT_FALSE(ControlServer::Start(endpoint, {}).has_value());
}

// Guards against a client that is destroyed before the callback of a call has
// run: the callback must receive an error. The handler keeps the reply callback
// and drops it unused just before the client is destroyed.
TEST(ControlClient, FailsCallsInFlightWhenDestroyed)
{
  std::promise<state::Result<HandoverAcknowledgement>> response;
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
                        [&](auto aResponse) { response.set_value(aResponse); });
    called.get_future().get();
    kept = nullptr;
  }
  EXPECT_FALSE(response.get_future().get().has_value());
}

} // namespace
} // namespace sassafrasknot::transport
