#include "NodeLoop.h"

namespace skylarkchute {

NodeLoop::NodeLoop(NodeOptions aOptions,
                   const Clock& aClock,
                   ActionHandler aActionHandler,
                   std::function<void(const Node&)> aAfterTick)
  : mClock(aClock)
  , mActionHandler(std::move(aActionHandler))
  , mAfterTick(std::move(aAfterTick))
  , mNode(std::move(aOptions))
{
}

NodeLoop::~NodeLoop()
{
  Stop();
}

void NodeLoop::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mPosted.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void NodeLoop::Start()
{
  mThread = std::thread([this] { Run(); });
}

void NodeLoop::Post(Event aEvent)
{
  {
    const std::lock_guard lock(mMutex);
    mEvents.push_back(std::move(aEvent));
  }
  mPosted.notify_one();
}

void NodeLoop::Run()
{
  Handle([](Node& aNode, NodeTime aTime) { return aNode.Start(aTime); });
  auto nextTick = mClock.Now();
  for (;;) {
    Event event;
    {
      std::unique_lock lock(mMutex);
      mPosted.wait_until(lock, nextTick, [&] { return mStopping || !mEvents.empty(); });
      if (mStopping) {
        return;
      }
      if (!mEvents.empty()) {
        event = std::move(mEvents.front());
        mEvents.pop_front();
      }
    }
    if (event) {
      Handle(event);
    }
    if (mClock.Now() >= nextTick) {
      Handle([](Node& aNode, NodeTime aTime) { return aNode.Tick(aTime); });
      mAfterTick(mNode);
      nextTick = mClock.Now() + kTickPeriod;
    }
  }
}

void NodeLoop::Handle(const Event& aEvent)
{
  for (const auto& it : aEvent(mNode, Time())) {
    mActionHandler(it);
  }
}

NodeTime NodeLoop::Time() const
{
  return { mClock.Now(), mClock.WallNow() };
}

} // namespace skylarkchute
