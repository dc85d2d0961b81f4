#include "sassafrasknot/transport/log.hpp"

#include <utility>

#include "control_thread.hpp"
#include <boost/asio/post.hpp>

namespace sassafrasknot::transport {

/// Executes one action that the control core returned.
struct ControlExecutor
{
  ControlThread& mThread;

  void operator()(const coordination::SendMessage& aAction) const
  {
    if (aAction.mTransport == coordination::MessageTransport::Udp) {
      mThread.mTraffic->SendControl(aAction.mTo, aAction.mMessage);
      return;
    }
    auto& thread = mThread;
    mThread.mClient->Pull(
      aAction.mTo, aAction.mMessage, [&thread](const auto& aResponse) {
        if (!aResponse) {
          return; // The core repeats pulls that got no response.
        }
        boost::asio::post(thread.mContext,
                          [&thread, response = aResponse.value()] {
                            if (thread.mTraffic) {
                              thread.OnMessage(response);
                            }
                          });
      });
  }
  void operator()(const coordination::ReadPlatform& aAction) const
  {
    mThread.StartPlatformCall(aAction);
  }
  void operator()(const coordination::PublishSnapshot& aAction) const
  {
    const auto changed = UpdateInForce(
      mThread.mInForce, *aAction.mSnapshot, std::chrono::system_clock::now());
    for (const auto& organisation : changed) {
      const auto revision = mThread.mInForce[organisation].mRevision;
      WriteLog(coordination::LogLevel::Info,
               "in_force",
               { { "organisation", organisation.mValue },
                 { "revision", std::to_string(revision) } });
    }
    mThread.mTraffic->Publish(aAction.mSnapshot);
  }
  void operator()(const coordination::LogEvent& aAction) const
  {
    WriteLog(aAction.mLevel, aAction.mMessage, aAction.mFields);
  }
};

void
ControlThread::Execute(const coordination::ControlActions& aActions)
{
  for (const auto& action : aActions) {
    std::visit(ControlExecutor{ *this }, action);
  }
}

} // namespace sassafrasknot::transport
