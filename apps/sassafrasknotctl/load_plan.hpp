#ifndef SASSAFRASKNOTCTL_LOAD_PLAN_HPP
#define SASSAFRASKNOTCTL_LOAD_PLAN_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "arrivals.hpp"
#include "load_messages.hpp"

namespace sassafrasknotctl {

/// @brief Flows of one kind towards one listener.
struct LoadTarget
{
  FlowKind mKind = FlowKind::Confirmation;
  std::string mOrganisation;
  std::string mService;
  state::Endpoint mListener;
  /// Arrivals per second.
  double mRate = 1.0;
};

/// @brief Everything that `sassafrasknotctl load` was told.
struct LoadPlan
{
  state::Endpoint mListen;
  state::Endpoint mFabric;
  std::vector<LoadTarget> mTargets;
  std::uint64_t mSeed = 1;
  /// Time during which flows arrive.
  std::chrono::milliseconds mLength{ 10000 };
  /// Longest wait for open flows after that.
  std::chrono::milliseconds mFinish{ 30000 };
  std::optional<Crest> mCrest;
  /// First address of the callers inside the packets.
  state::Ipv4Address mFirstCaller;
  /// How long a feed stays open; zero keeps it until arrivals end.
  std::chrono::milliseconds mFeedLength{};
  std::chrono::milliseconds mPeriod{ 500 };
  std::uint64_t mUploadBytes = 20000;
  /// Part of uploads and confirmations that are stragglers, 0 to 1.
  double mStragglerShare = 0.0;
  double mStragglerFactor = 50.0;
  std::chrono::milliseconds mPatience{ 15000 };
  bool mJson = false;
  bool mStrict = false;
  bool mQuiet = false;
};

/// @brief Reads a target such as "kandyan/intake@127.10.1.1:7002=20".
/// @param aKind kind of its flows
/// @param aText organisation, service, listener and arrivals per second
/// @return the target, or InvalidArgument
state::Result<LoadTarget>
ParseTarget(FlowKind aKind, std::string_view aText);

/// @brief Reads a crest such as "10:5:4": start and length in seconds, factor.
/// @param aText the text
/// @return the crest, or InvalidArgument
state::Result<Crest>
ParseCrest(std::string_view aText);

/// @brief Reads the options of `sassafrasknotctl load`.
/// @param aArgc number of arguments
/// @param aArgv the command's name first
/// @return the plan, or InvalidArgument with a message for the operator
state::Result<LoadPlan>
ParseLoadOptions(int aArgc, const char** aArgv);

} // namespace sassafrasknotctl

#endif
