#include "sassafrasknot/transport/node.hpp"

#include <utility>

#include "control_thread.hpp"

namespace sassafrasknot::transport {

struct Node::Impl
{
  explicit Impl(const protocol::Settings& aSettings)
    : mControl(aSettings)
  {
  }

  ControlThread mControl;
};

Node::Node(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Node::~Node() = default;

state::Result<std::unique_ptr<Node>>
Node::Start(const protocol::Settings& aSettings)
{
  auto impl = std::make_unique<Impl>(aSettings);
  if (auto opened = impl->mControl.Open(); !opened) {
    return opened.error();
  }
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

bool
Node::Run()
{
  return mImpl->mControl.Run();
}

void
Node::Stop()
{
  mImpl->mControl.RequestStop();
}

} // namespace sassafrasknot::transport
