#ifndef SASSAFRASKNOT_FLOWS_ANSWER_LEARNING_HPP
#define SASSAFRASKNOT_FLOWS_ANSWER_LEARNING_HPP

#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/flows/work_model.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>

namespace sassafrasknot::flows {

/// @brief An upstream's answer to a request.
struct AnsweredRequest
{
  state::Endpoint mRoute;
  state::Ipv4Address mCaller;
  /// Time from the request's last byte to its answer, without the network.
  Work mTaken{ 0 };
  /// It did not wait in the upstream's queue.
  bool mFoundFreeSlot = false;
  /// Bytes of the answer that the caller acknowledged first.
  std::uint32_t mBytes = 0;
};

/// @brief Returns whether an answer is much earlier than usual.
/// @param aModel work of requests
/// @param aRecord the upstream
/// @param aAnswer the answer
/// @param aNow current time on the steady clock
/// @return whether it is; false while the work of the route is not learned
bool
IsEarlyAnswer(const WorkModel& aModel,
              const UpstreamRecord& aRecord,
              const AnsweredRequest& aAnswer,
              state::TimePoint aNow);

/// @brief Returns whether an answer is much shorter than usual, as those that
/// report an error or a rejection are.
/// @param aModel work of requests
/// @param aAnswer the answer
/// @param aNow current time on the steady clock
/// @return whether it is; false while the usual size is not known
bool
IsShortAnswer(const WorkModel& aModel,
              const AnsweredRequest& aAnswer,
              state::TimePoint aNow);

/// @brief Learns the work of requests and the speed of their upstream from an
/// answer, each with the present estimate of the other. An answer that is much
/// earlier or shorter than usual changes neither, but counts as backlog; see
/// EarlyAnswers.
/// @param aModel work of requests
/// @param aRecord the upstream
/// @param aAnswer the answer
/// @param aNow current time on the steady clock
void
LearnFromAnswer(WorkModel& aModel,
                UpstreamRecord& aRecord,
                const AnsweredRequest& aAnswer,
                state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
