#include "sassafrasknot/fleet/peers.hpp"

#include <chrono>
#include <random>
#include <utility>

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

// Guards against an instance that is ignored after its restart: its time of day
// was ahead at its previous start and has jumped back since, so that its new
// incarnation is lower.
TEST(Peers, AcceptALowerIncarnationAfterTheDirectContactTimeout)
{
  auto peers = MakePeers();
  RecordContact(peers, { kOther, { "a" }, 5000 }, kStart);
  const Member restarted{ kOther, { "a" }, 2000 };
  const auto later = kStart + kDirectContactTimeout + milliseconds(1);
  EXPECT_TRUE(RecordContact(peers, restarted, later));
  EXPECT_EQ(peers.mPeers.at(kOther).mMember, restarted);
  // Other instances still pass on older contacts with the previous process.
  RecordGossip(peers,
               { kOther, { "a" }, 5000 },
               milliseconds(800),
               later + milliseconds(50));
  EXPECT_EQ(peers.mPeers.at(kOther).mMember, restarted);
}

// Guards against a delayed message of an ended process, which would replace the
// record of its successor.
TEST(Peers, IgnoreALowerIncarnationWithinTheDirectContactTimeout)
{
  auto peers = MakePeers();
  const Member current{ kOther, { "a" }, 5000 };
  RecordContact(peers, current, kStart);
  EXPECT_FALSE(RecordContact(
    peers, { kOther, { "a" }, 2000 }, kStart + kDirectContactTimeout / 2));
  EXPECT_EQ(peers.mPeers.at(kOther).mMember, current);
}

// Guards against an instance that counts as dead here although other instances
// had contact with it after its restart: its time of day jumped back, so that
// its new incarnation is lower.
TEST(Peers, AcceptALowerIncarnationFromLaterGossip)
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

// Guards against dead instances that are never reported to the log, and against
// one log line for each check.
TEST(Peers, ReportTheDeathOfAMemberOnce)
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

// Guards against a member without endpoint or data centre that remains after
// gossip with an age that no contact can have.
TEST(Peers, GossipThatIsTooOldAddsNoMember)
{
  auto peers = MakePeers();
  RecordGossip(
    peers, { kOther, { "a" }, 5000 }, std::chrono::hours(1000), kStart);
  EXPECT_TRUE(peers.mPeers.empty());
}

// Guards against ranks and positions that differ between members because one
// of them counts another set of peers.
TEST(Peers, RanksAndPositionsEqualThoseOfTheListsOfPeers)
{
  std::minstd_rand random(9);
  int representatives = 0;
  for (int round = 0; round < 2000; ++round) {
    auto peers = MakePeers();
    peers.mSelf.mEndpoint = { { 5 }, 7000 };
    const auto now = kStart + std::chrono::seconds(10);
    for (std::uint32_t index = 1; index <= 1 + random() % 8; ++index) {
      Member member{ { { index }, 7000 }, { random() % 2 == 0 ? "a" : "b" } };
      member.mIncarnation = random() % 200;
      member.mLeaving = random() % 4 == 0;
      const auto age = milliseconds(random() % 5000);
      if (random() % 2 == 0) {
        RecordContact(peers, member, now - age);
      } else {
        RecordGossip(peers, member, age, now);
      }
    }
    flows::InstancePosition position;
    std::size_t rank = 0;
    for (const auto* peer : LocalPeers(peers, now)) {
      const auto& member = peer->mMember;
      ++position.mCount;
      position.mIndex += member.mEndpoint < peers.mSelf.mEndpoint ? 1 : 0;
      const bool isRecent =
        peer->mLastDirectContact != state::TimePoint{} &&
        now - peer->mLastDirectContact < kDirectContactTimeout;
      rank += isRecent && !member.mLeaving &&
                  std::pair(member.mIncarnation, member.mEndpoint) <
                    std::pair(peers.mSelf.mIncarnation, peers.mSelf.mEndpoint)
                ? 1
                : 0;
    }
    ASSERT_EQ(LocalPosition(peers, now), position) << "round " << round;
    ASSERT_EQ(RepresentativeRank(peers, now), rank) << "round " << round;
    ASSERT_EQ(IsRepresentative(peers, now), rank == 0) << "round " << round;
    representatives += rank == 0 ? 1 : 0;
  }
  EXPECT_GT(representatives, 100);
  EXPECT_LT(representatives, 1900);
}

} // namespace
} // namespace sassafrasknot::fleet
