#ifndef SASSAFRASKNOT_COORDINATION_DISSEMINATION_HPP
#define SASSAFRASKNOT_COORDINATION_DISSEMINATION_HPP

#include "sassafrasknot/coordination/membership.hpp"
#include "sassafrasknot/state/configuration_store.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Most keys in one digest.
constexpr std::size_t kKeysPerDigest = 8;

/// @brief Time after which a key that was asked for is asked for again.
constexpr std::chrono::milliseconds kPullTimeout{ 300 };

/// @brief A key that changed not long ago.
struct RecentChange
{
  std::string mKey;
  state::TimePoint mSince;
};

/// @brief A key that a peer has and this instance lacks.
struct WantedKey
{
  /// Control endpoint of the peer.
  state::Endpoint mSource;
  state::TimePoint mLastRequest;
  std::uint32_t mAttempts = 0;
};

/// @brief Which changes are to be told, and which are asked for.
struct Dissemination
{
  std::deque<RecentChange> mRecentChanges;
  std::map<std::string, WantedKey> mWantedKeys;
  std::uint32_t mNextToken = 1;
  state::TimePoint mNextDigest;
  state::TimePoint mLastChange;
  /// When all keys were last compared with a peer.
  state::TimePoint mLastComparison;
  /// When a digest last arrived.
  state::TimePoint mLastDigest;
};

/// @brief Says what this instance has.
/// @param aDissemination the state
/// @param aStore the store
/// @param aNow the time
/// @return the digest
Digest
MakeDigest(Dissemination& aDissemination,
           const state::ConfigurationStore& aStore,
           state::TimePoint aNow);

/// @brief Notes changed keys and makes digests for three random peers and for
/// the data centres whose contact this instance is.
/// @param aDissemination the state
/// @param aStore the store
/// @param aMembership the members
/// @param aChanged the keys
/// @param aRandom random numbers
/// @param aNow the time
/// @return what to send
std::vector<OutgoingMessage>
AnnounceChanges(Dissemination& aDissemination,
                const state::ConfigurationStore& aStore,
                const Membership& aMembership,
                const std::set<std::string>& aChanged,
                RandomGenerator& aRandom,
                state::TimePoint aNow);

/// @brief Sends the regular digest and asks again for what did not arrive.
/// @param aDissemination the state
/// @param aStore the store
/// @param aMembership the members
/// @param aRandom random numbers
/// @param aNow the time
/// @return what to send
std::vector<OutgoingMessage>
TickDissemination(Dissemination& aDissemination,
                  const state::ConfigurationStore& aStore,
                  const Membership& aMembership,
                  RandomGenerator& aRandom,
                  state::TimePoint aNow);

/// @brief Takes a digest: raises the complete revision if both have the same,
/// otherwise asks for what is missing or answers with the own digest.
/// @param aDissemination the state
/// @param aStore the store
/// @param aMessage the message
/// @param aDigest its body
/// @param aNow the time
/// @return what to send
std::vector<OutgoingMessage>
HandleDigest(Dissemination& aDissemination,
             state::ConfigurationStore& aStore,
             const ControlMessage& aMessage,
             const Digest& aDigest,
             state::TimePoint aNow);

/// @brief Asks a peer to compare all keys.
/// @param aDissemination the state
/// @param aStore the store
/// @param aSource control endpoint of the peer
/// @param aMembers whether the peer's members are wanted as well
/// @param aNow the time
/// @return what to send; nothing if this was asked less than a second ago
std::vector<OutgoingMessage>
RequestFullComparison(Dissemination& aDissemination,
                      const state::ConfigurationStore& aStore,
                      const state::Endpoint& aSource,
                      bool aMembers,
                      state::TimePoint aNow);

/// @brief Answers a pull.
/// @param aStore the store
/// @param aPull the pull
/// @return the records, at most about 1 MB; keys that do not fit are left out
PullResponse
AnswerPull(const state::ConfigurationStore& aStore, const Pull& aPull);

/// @brief Notes which keys of an answer are still missing and asks for them.
/// The entries are merged by the caller before.
/// @param aDissemination the state
/// @param aStore the store
/// @param aMessage the message
/// @param aRecords its body
/// @param aNow the time
/// @return what to send
std::vector<OutgoingMessage>
UpdateWantedKeys(Dissemination& aDissemination,
                 const state::ConfigurationStore& aStore,
                 const ControlMessage& aMessage,
                 const PullResponse& aRecords,
                 state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
