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

/// @brief Maximum number of keys in one digest.
constexpr std::size_t kMaxKeysPerDigest = 8;

/// @brief Time without a response after which a key is requested again.
constexpr std::chrono::milliseconds kPullTimeout{ 300 };

/// @brief A key that changed within the last 10 s.
struct RecentChange
{
  std::string mKey;
  /// When this instance received the change.
  state::TimePoint mSince;
};

/// @brief A key of which a peer has a record that this instance lacks.
struct WantedKey
{
  /// Control endpoint of the peer.
  state::Endpoint mSource;
  /// When the key was last requested.
  state::TimePoint mLastRequest;
  /// Number of requests so far; the key is dropped after 5.
  std::uint32_t mAttempts = 0;
};

/// @brief State of the dissemination of configuration records between
/// instances. An instance announces changes by digests, which contain the
/// recently changed keys and a hash of the whole store. A receiver pulls the
/// records that it lacks. If the hashes still differ later, the receiver
/// requests a comparison of all keys with the sender (anti-entropy).
struct Dissemination
{
  /// Newest first.
  std::deque<RecentChange> mRecentChanges;
  std::map<std::string, WantedKey> mWantedKeys;
  /// Token of the next pull.
  std::uint32_t mNextToken = 1;
  state::TimePoint mNextDigest;
  /// When a key last changed on this instance.
  state::TimePoint mLastChange;
  /// When a comparison of all keys was last requested.
  state::TimePoint mLastComparison;
  /// When a digest of a peer last arrived.
  state::TimePoint mLastDigest;
};

/// @brief Makes a digest of this instance's records, after it has removed
/// changes that are no longer recent.
/// @param aDissemination state of the dissemination
/// @param aStore configuration records of this instance
/// @param aNow current time on the steady clock
/// @return the digest
Digest
MakeDigest(Dissemination& aDissemination,
           const state::ConfigurationStore& aStore,
           state::TimePoint aNow);

/// @brief Records changed keys and makes digests for three random peers and, if
/// this instance is the representative towards another data centre, for one
/// random member there.
/// @param aDissemination state of the dissemination
/// @param aStore configuration records of this instance
/// @param aMembership state of all members
/// @param aChanged keys that changed in aStore; if empty, nothing is sent
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return messages to send
std::vector<OutgoingMessage>
AnnounceChanges(Dissemination& aDissemination,
                const state::ConfigurationStore& aStore,
                const Membership& aMembership,
                const std::set<std::string>& aChanged,
                RandomGenerator& aRandom,
                state::TimePoint aNow);

/// @brief Requests missing records again, and once a second sends a digest to
/// one random peer. One instance of each data centre also sends it to a random
/// member of a random other data centre.
/// @param aDissemination state of the dissemination
/// @param aStore configuration records of this instance
/// @param aMembership state of all members
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return messages to send
std::vector<OutgoingMessage>
TickDissemination(Dissemination& aDissemination,
                  const state::ConfigurationStore& aStore,
                  const Membership& aMembership,
                  RandomGenerator& aRandom,
                  state::TimePoint aNow);

/// @brief Handles a digest. If both stores have the same hash, this instance's
/// complete revision is raised to the sender's revision in force. Otherwise
/// this instance pulls the records that it lacks. If it wants no keys, it
/// replies with its own digest, provided that it has recent changes and that
/// aDigest is not a reply itself. It then also requests a full comparison if no
/// key changed here within 2 s.
/// @param aDissemination state of the dissemination
/// @param aStore configuration records of this instance; only its complete
/// revision may change
/// @param aMessage message with the digest
/// @param aDigest body of aMessage
/// @param aNow current time on the steady clock
/// @return messages to send
std::vector<OutgoingMessage>
HandleDigest(Dissemination& aDissemination,
             state::ConfigurationStore& aStore,
             const ControlMessage& aMessage,
             const Digest& aDigest,
             state::TimePoint aNow);

/// @brief Requests a comparison of all keys with a peer.
/// @param aDissemination state of the dissemination
/// @param aStore configuration records of this instance
/// @param aSource control endpoint of the peer
/// @param aWantsMembers whether the response is to contain the peer's members
/// @param aNow current time on the steady clock
/// @return messages to send; none if a comparison with any peer was requested
/// less than a second ago
std::vector<OutgoingMessage>
RequestFullComparison(Dissemination& aDissemination,
                      const state::ConfigurationStore& aStore,
                      const state::Endpoint& aSource,
                      bool aWantsMembers,
                      state::TimePoint aNow);

/// @brief Makes the response to a pull: the requested records, and the keys of
/// the buckets whose hashes differ.
/// @param aStore configuration records of this instance
/// @param aPull request of another instance
/// @return the response. Records that would exceed 1 MiB of text are left out,
/// except the first, and are requested again by the receiver.
PullResponse
AnswerPull(const state::ConfigurationStore& aStore, const Pull& aPull);

/// @brief Handles the response to a pull: received keys are no longer wanted,
/// and differing keys that this instance lacks are requested.
/// @param aDissemination state of the dissemination
/// @param aStore configuration records of this instance, with the entries of
/// the response merged already
/// @param aMessage message with the response
/// @param aResponse body of aMessage
/// @param aNow current time on the steady clock
/// @return messages to send
std::vector<OutgoingMessage>
UpdateWantedKeys(Dissemination& aDissemination,
                 const state::ConfigurationStore& aStore,
                 const ControlMessage& aMessage,
                 const PullResponse& aResponse,
                 state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
