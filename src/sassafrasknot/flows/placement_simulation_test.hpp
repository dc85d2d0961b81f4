#ifndef SASSAFRASKNOT_FLOWS_PLACEMENT_SIMULATION_TEST_HPP
#define SASSAFRASKNOT_FLOWS_PLACEMENT_SIMULATION_TEST_HPP

#include "sassafrasknot/flows/answer_learning.hpp"
#include "sassafrasknot/flows/placement.hpp"
#include "sassafrasknot/flows/work_model.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <vector>

namespace sassafrasknot::flows {

/// Single requests of one route, placed by several instances on the upstreams
/// of one data centre that have two slots each and unequal speeds. There is no
/// network: requests arrive at once, and loads of other instances are copies
/// that are 25 to 200 ms old.

using Seconds = std::chrono::duration<double>;

constexpr std::size_t kSlots = 2;

enum class Policy : std::uint8_t
{
  LeastActive,   ///< ChooseUpstream without estimates.
  PeakEwma,      ///< Recent peak of latency times active requests.
  RemainingWork, ///< ChooseUpstream with learned work and speeds.
  TwoChoices,    ///< The same, among two random upstreams.
  Ideal,         ///< Knows each request's work and the present backlogs.
};

inline constexpr std::array kPolicies{ Policy::LeastActive,
                                       Policy::PeakEwma,
                                       Policy::RemainingWork,
                                       Policy::TwoChoices,
                                       Policy::Ideal };

/// Offered load over time, as a share of what all upstreams can serve.
struct OfferedLoad
{
  const char* mName = "";
  double mUtilisation = 0.8;
  /// Amplitude of an oscillation with a period of 13 s, as a share of the mean.
  double mAmplitude = 0;
  /// Factor of the load in the first second of each 10 s.
  double mBurst = 1;
};

struct SimulationSettings
{
  OfferedLoad mLoad;
  std::size_t mInstances = 4;
  std::size_t mUpstreams = 12;
  std::uint32_t mSeed = 1;
  /// One upstream answers this share of its requests after 1 ms without running
  /// them.
  double mFailingShare = 0;
  /// Instances report their speeds to each other once a second.
  bool mSharesSpeeds = true;
  Seconds mDuration{ 70 };
};

/// Times in the system of all requests after the first 10 s.
struct SimulationResult
{
  Seconds mMean{ 0 };
  Seconds mP99{ 0 };
  /// Share of requests that took more than ten times the mean work.
  double mLate = 0;
  /// Share of requests that the first upstream received.
  double mFirstShare = 0;
  /// Geometric mean of the speeds that instances have at the end.
  double mMeanSpeed = 1;
};

/// @brief Runs requests for SimulationSettings::mDuration.
/// @param aPolicy how instances choose upstreams
/// @param aSettings load and sizes
/// @return times in the system
SimulationResult
Simulate(Policy aPolicy, const SimulationSettings& aSettings);

} // namespace sassafrasknot::flows

#endif
