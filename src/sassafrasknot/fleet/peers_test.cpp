#include "sassafrasknot/fleet/peers.hpp"

#include <chrono>

#include <gtest/gtest.h>

namespace sassafrasknot::fleet {
namespace {

using std::chrono::milliseconds;

const state::TimePoint kStart{ std::chrono::hours(1) };
const state::Endpoint kSelf{ { 1 }, 7000 };
const state::Endpoint kOther{ { 2 }, 7000 };

Peers
MakePeers()
{
  Peers peers;
  peers.mSelf = { kSelf, { "a" }, 100 };
  return peers;
}

// Guards against an instance that is ignored after its restart, because the
// time of day was ahead at its previous start and has jumped back since.
TEST(Peers, TakeAnEarlierStartOnceTheLaterOneIsSilent)
{
  auto peers = MakePeers();
  RecordContact(peers, { kOther, { "a" }, 5000 }, kStart);
  const Member restarted{ kOther, { "a" }, 2000 };
  const auto later = kStart + kDirectContactTimeout + milliseconds(1);
  EXPECT_TRUE(RecordContact(peers, restarted, later));
  EXPECT_EQ(peers.mPeers.at(kOther).mMember, restarted);
  // Others still tell what they heard of the previous process.
  RecordGossip(peers,
               { kOther, { "a" }, 5000 },
               milliseconds(800),
               later + milliseconds(50));
  EXPECT_EQ(peers.mPeers.at(kOther).mMember, restarted);
}

// Guards against a late message of an ended process that replaces its
// successor.
TEST(Peers, IgnoreAnEarlierStartWhileTheLaterOneIsHeard)
{
  auto peers = MakePeers();
  const Member current{ kOther, { "a" }, 5000 };
  RecordContact(peers, current, kStart);
  EXPECT_FALSE(RecordContact(
    peers, { kOther, { "a" }, 2000 }, kStart + kDirectContactTimeout / 2));
  EXPECT_EQ(peers.mPeers.at(kOther).mMember, current);
}

// Guards against an instance that others have heard after its restart and that
// this one takes for dead, because its time of day jumped back.
TEST(Peers, TakeAnEarlierStartThatOthersHaveHeardLater)
{
  auto peers = MakePeers();
  RecordContact(peers, { kOther, { "b" }, 5000 }, kStart);
  const Member restarted{ kOther, { "b" }, 2000 };
  RecordGossip(
    peers, restarted, milliseconds(0), kStart + kDirectContactTimeout / 2);
  EXPECT_EQ(peers.mPeers.at(kOther).mMember.mIncarnation, 5000U);
  const auto later = kStart + kDeadTimeout + milliseconds(1);
  RecordGossip(peers, restarted, milliseconds(10), later);
  EXPECT_EQ(peers.mPeers.at(kOther).mMember, restarted);
  EXPECT_TRUE(IsAlive(peers.mPeers.at(kOther), later));
}

// Guards against lost instances that no log line tells of, and against a line
// for each time that one is looked for.
TEST(Peers, TellTheLossOfAMemberOnce)
{
  auto peers = MakePeers();
  const Member other{ kOther, { "a" }, 5000 };
  RecordContact(peers, other, kStart);
  EXPECT_TRUE(
    CollectNewlyDead(peers, kStart + kDeadTimeout - milliseconds(1)).empty());
  const auto later = kStart + kDeadTimeout;
  EXPECT_EQ(CollectNewlyDead(peers, later), std::vector{ other });
  EXPECT_TRUE(CollectNewlyDead(peers, later).empty());
  RecordGossip(peers, other, milliseconds(0), later + milliseconds(1));
  EXPECT_EQ(CollectNewlyDead(peers, later + kDeadTimeout + milliseconds(1)),
            std::vector{ other });
}

} // namespace
} // namespace sassafrasknot::fleet
