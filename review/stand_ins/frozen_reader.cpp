#include <csignal>

#include "cases.hpp"

namespace review {
namespace {

constexpr int kRounds = 8;
/// The machine wakes after this time, as on krampon-prod.
constexpr milliseconds kFreezeTime{ 3500 };
/// From the start of one round to the next: the freeze and the stable window.
constexpr milliseconds kRoundTime{ 9000 };
/// Rounds begin at different times between two readiness checks.
constexpr milliseconds kPhaseStep{ 130 };
constexpr std::size_t kCallersPerRound = 12;
constexpr milliseconds kInterval{ 100 };
constexpr std::uint32_t kNewRoutes = 0xC6120200;
constexpr std::chrono::seconds kMaxFlowAge{ 60 };

/// One round: a configuration adds a route. The machine that reads it first
/// freezes when one of its peers has received it; other peers' requests for it
/// are on their way.
struct Round
{
  Node* mReader = nullptr;
  bool mOver = false;
  std::vector<std::function<void()>> mHeld;
};

void
Freeze(Deployment& aDeployment, Node& aNode)
{
  aDeployment.mRecord.Line("machine " + std::to_string(aNode.mNumber) +
                           " freezes");
  aNode.mFrozen = true;
  aNode.mDisturbed = Clock::now();
  aNode.mProcess->Signal(SIGSTOP);
  RunAfter(aDeployment.mContext, kFreezeTime, [&aDeployment, &aNode] {
    aNode.mProcess->Signal(SIGCONT);
    aNode.mFrozen = false;
    aNode.mDisturbed = Clock::now();
    aDeployment.mRecord.Line("machine " + std::to_string(aNode.mNumber) +
                             " wakes");
  });
}

/// Watches the requests of peers for changes, and freezes the machine that
/// answers the first of them.
void
Observe(Deployment& aDeployment,
        const std::shared_ptr<Round>& aRound,
        bool aTrouble)
{
  for (const auto& node : aDeployment.mNodes) {
    auto& proxy = *node->mFleetProxy;
    proxy.mOnAccepted = [&node = *node, aRound](const auto& aForward) {
      const bool isFirst = aRound->mReader == nullptr;
      if (isFirst) {
        aRound->mReader = &node;
      }
      if (isFirst || aRound->mOver || aRound->mReader != &node) {
        aForward();
      } else {
        aRound->mHeld.push_back(aForward);
      }
    };
    proxy.mOnAnswered = [&aDeployment, &node = *node, aRound, aTrouble] {
      if (aRound->mReader != &node || aRound->mOver) {
        return;
      }
      aRound->mOver = true;
      aDeployment.mRecord.Line("machine " + std::to_string(node.mNumber) +
                               " has sent the change to its first peer");
      if (aTrouble) {
        Freeze(aDeployment, node);
      }
      for (const auto& forward : aRound->mHeld) {
        forward();
      }
    };
  }
}

/// Reports the reset of an open flow unless a disturbance excuses it.
void
CheckReset(Deployment& aDeployment, const FlowKey& aKey, const Endpoint& aFrom)
{
  const auto* target = aDeployment.TargetOf(aKey);
  const auto* sender = aDeployment.NodeAt(aFrom);
  if (target == nullptr || sender == nullptr) {
    return;
  }
  if (!Deployment::IsInTouch(*sender)) {
    aDeployment.mRecord.Line("(machine " + std::to_string(sender->mNumber) +
                             " is not in touch)");
    return;
  }
  aDeployment.mRecord.Violation(
    "FLOW",
    "flow " + FormatFlow(aKey) + " is open at " + target->Id() +
      ", which lives, and is reset by machine " +
      std::to_string(sender->mNumber) + ", which is in touch");
}

} // namespace

void
RunFrozenReader(Deployment& aDeployment, bool aTrouble)
{
  static_assert(kMaxFlowAge > kRoundTime, "no flow may be too old to count");
  for (int number = 0; number < kRounds; ++number) {
    const Endpoint service{ kNewRoutes + static_cast<std::uint32_t>(number),
                            8443 };
    aDeployment.mRecord.Line("round " + std::to_string(number));
    auto round = std::make_shared<Round>();
    Observe(aDeployment, round, aTrouble);
    aDeployment.mRoutes.push_back({ service, "desk" });
    aDeployment.Configure();
    auto callers =
      StartCallers(aDeployment,
                   static_cast<std::size_t>(number) * kCallersPerRound,
                   kCallersPerRound,
                   service,
                   kInterval,
                   false,
                   { "a", "b", "c" });
    for (const auto& caller : callers) {
      caller->mOnReset = [&aDeployment](const auto& aKey, const auto& aFrom) {
        CheckReset(aDeployment, aKey, aFrom);
      };
    }
    aDeployment.mContext.run_for(kRoundTime + kPhaseStep);
    for (const auto& caller : callers) {
      caller->StopFeeds();
    }
  }
}

} // namespace review
