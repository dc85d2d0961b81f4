#ifndef SASSAFRASKNOT_FLOWS_WORK_MODEL_HPP
#define SASSAFRASKNOT_FLOWS_WORK_MODEL_HPP

#include "sassafrasknot/flows/answer_size.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/time.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::flows {

/// @brief Time that a request takes at an upstream of speed 1, without waiting
/// in a queue.
using Work = std::chrono::duration<double>;

/// Number of intervals in which the distribution of work is kept. Each is wider
/// by a factor of sqrt(2) than the one before, from 0.25 ms to 16 s.
constexpr std::size_t kWorkIntervals = 32;

/// Estimates that rest on fewer samples are not used.
constexpr double kMinWorkSamples = 16;

/// Time constant with which the number of samples of an estimate falls, so that
/// an estimate without new samples expires.
constexpr std::chrono::seconds kWorkMemory{ 60 };

/// Number of callers whose work is estimated at the same time.
constexpr std::size_t kCallerEstimates = 1024;

/// @brief Distribution of the work of the requests of one route.
struct RouteWork
{
  std::array<float, kWorkIntervals> mCounts{};
  /// Sum of mCounts; older samples count less.
  double mSamples = 0;
  Work mMean{ 0 };
  /// Mean of the natural logarithm of the work in seconds. Unlike mMean it is
  /// hardly moved by a few long requests.
  double mMeanLog = 0;
  state::TimePoint mUpdatedAt;
};

/// @brief Mean work of the requests of one service.
struct ServiceWork
{
  Work mMean{ 0 };
  double mSamples = 0;
  state::TimePoint mUpdatedAt;
};

/// @brief Estimate of how much the work of a caller's requests differs from the
/// usual work of their route.
struct CallerWork
{
  /// Hash of caller and route; 0 if the estimate is not in use.
  std::uint32_t mKey = 0;
  /// Mean difference of the logarithms.
  float mLogRatio = 0;
  float mSamples = 0;
  state::TimePoint mUpdatedAt;
};

/// @brief Estimates of the work of requests, learned from their response times.
struct WorkModel
{
  std::map<state::Endpoint, RouteWork> mRoutes;
  std::map<std::string, ServiceWork, std::less<>> mServices;
  std::map<state::Endpoint, AnswerSize> mAnswerSizes;
  /// Hash table with one place for each hash value.
  std::vector<CallerWork> mCallers = std::vector<CallerWork>(kCallerEstimates);
  /// Samples since the start, and answers that were too early or short for it.
  std::uint64_t mSampleCount = 0;
  std::uint64_t mEarlyAnswerCount = 0;
};

/// @brief The work of a request that was answered without waiting in a queue.
struct WorkSample
{
  state::Endpoint mRoute;
  std::string_view mService;
  state::Ipv4Address mCaller;
  Work mWork{ 0 };
};

/// @brief Records the work of a request.
/// @param aModel the estimates
/// @param aSample route, service, caller and work
/// @param aNow current time on the steady clock
void
RecordWork(WorkModel& aModel, const WorkSample& aSample, state::TimePoint aNow);

/// @brief Returns the route's estimate if it has enough recent samples.
/// @param aModel the estimates
/// @param aRoute service endpoint of the route
/// @param aNow current time on the steady clock
/// @return the estimate, or null
const RouteWork*
FindRouteWork(const WorkModel& aModel,
              const state::Endpoint& aRoute,
              state::TimePoint aNow);

/// @brief Returns the mean work of the requests of a service, which is the unit
/// of an upstream's backlog.
/// @param aModel the estimates
/// @param aService name of the service
/// @param aNow current time on the steady clock
/// @return the mean, or nothing while there are too few samples
std::optional<Work>
MeanWork(const WorkModel& aModel,
         std::string_view aService,
         state::TimePoint aNow);

/// @brief Returns the factor by which the work of a caller's requests exceeds
/// the usual work of their route.
/// @param aModel the estimates
/// @param aRoute service endpoint of the route
/// @param aCaller address of the caller
/// @param aNow current time on the steady clock
/// @return the factor; 1 for a caller without samples, which the estimate also
/// approaches with few or old samples
double
CallerFactor(const WorkModel& aModel,
             const state::Endpoint& aRoute,
             state::Ipv4Address aCaller,
             state::TimePoint aNow);

/// @brief Returns the work that is expected to be left of a request.
/// @param aRoute distribution of the route's work
/// @param aDone work that was done on the request
/// @return expected remaining work; the route's mean for a new request. With
/// long tails it grows with aDone.
Work
ExpectedRemainingWork(const RouteWork& aRoute, Work aDone);

} // namespace sassafrasknot::flows

#endif
