#ifndef SASSAFRASKNOTCTL_LOAD_OPTIONS_HPP
#define SASSAFRASKNOTCTL_LOAD_OPTIONS_HPP

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

/// @brief Flows of one kind to one listener of a service.
struct LoadTarget
{
  FlowKind mKind = FlowKind::Confirmation;
  std::string mOrganisation;
  std::string mService;
  state::Endpoint mListener;
  /// Arrivals per second.
  double mRate = 1.0;
};

/// @brief Options of `sassafrasknotctl load`.
struct LoadOptions
{
  /// Own UDP endpoint.
  state::Endpoint mListen;
  /// UDP endpoint of the fabric, the program that carries the packets.
  state::Endpoint mFabric;
  std::vector<LoadTarget> mTargets;
  /// Seed of all random numbers.
  std::uint64_t mSeed = 1;
  /// Duration of the arrivals, from the start of the run.
  std::chrono::milliseconds mDuration{ 10000 };
  /// Timeout for flows that are still open when arrivals end.
  std::chrono::milliseconds mFinishTimeout{ 30000 };
  std::optional<Burst> mBurst;
  /// First source address of the packets; the following addresses are used once
  /// the ports of this one are used up.
  state::Ipv4Address mFirstCaller;
  /// Time from a feed's first message until it is closed; zero keeps feeds open
  /// until arrivals end.
  std::chrono::milliseconds mFeedDuration{};
  /// Interval between the messages of a feed.
  std::chrono::milliseconds mPeriod{ 500 };
  /// Size of an upload, in bytes.
  std::uint64_t mUploadBytes = 20000;
  /// Share of uploads and confirmations that are stragglers (run longer), 0 to
  /// 1.
  double mStragglerShare = 0.0;
  /// Factor on the service time of stragglers.
  double mStragglerFactor = 50.0;
  /// An established flow without progress for this long is broken.
  std::chrono::milliseconds mProgressTimeout{ 15000 };
  /// Prints the report as JSON.
  bool mJson = false;
  /// Makes the exit status 1 if FailsStrictCheck.
  bool mStrict = false;
  /// Shows no progress.
  bool mQuiet = false;
};

/// @brief Parses a target such as "kandyan/intake@127.10.1.1:7002=20".
/// @param aKind kind of the target's flows
/// @param aText organisation, service, listener and arrivals per second
/// @return the target, or InvalidArgument
state::Result<LoadTarget>
ParseTarget(FlowKind aKind, std::string_view aText);

/// @brief Parses the value of --crest, such as "10:5:4".
/// @param aText start and length in seconds, and factor on the arrival rate
/// @return the burst, or InvalidArgument
state::Result<Burst>
ParseBurst(std::string_view aText);

/// @brief Parses the options of `sassafrasknotctl load`.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return the options, or InvalidArgument with a message for the operator
state::Result<LoadOptions>
ParseLoadOptions(int aArgc, const char** aArgv);

} // namespace sassafrasknotctl

#endif
