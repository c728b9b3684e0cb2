#pragma once

#include <skylarkchute_node/skylarkchute_node.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace skylarkchute {

/** The one thread that owns a node. Events are posted to it from any thread and handled in order;
    the actions that follow go to the driver on the same thread. */
class NodeLoop
{
public:
  /** Handles one event of the node. */
  using Event = std::function<NodeActions(Node&, NodeTime)>;

  /** Carries out one action; called on the loop's thread only and must not block. */
  using Driver = std::function<void(const NodeAction&)>;

  /** @param aAfterTick  called on the loop's thread after each tick */
  NodeLoop(NodeOptions aOptions,
           const Clock& aClock,
           Driver aDriver,
           std::function<void(const Node&)> aAfterTick);
  ~NodeLoop();

  NodeLoop(const NodeLoop&) = delete;
  NodeLoop& operator=(const NodeLoop&) = delete;

  /** Starts the thread. */
  void Start();

  /** Ends the thread; events posted later are ignored. */
  void Stop();

  /** Hands an event to the node; returns at once. */
  void Post(Event aEvent);

  /** Asks the node something and waits for the answer.
      @returns nothing when the loop did not answer within a second */
  template<typename Result>
  std::optional<Result> Ask(std::function<Result(Node&, NodeTime)> aQuestion)
  {
    const auto promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    Post([promise, aQuestion](Node& aNode, NodeTime aTime) {
      promise->set_value(aQuestion(aNode, aTime));
      return NodeActions();
    });
    if (future.wait_for(kAskTimeout) != std::future_status::ready) {
      return std::nullopt;
    }
    return future.get();
  }

private:
  static constexpr std::chrono::milliseconds kAskTimeout{ 1000 };
  static constexpr std::chrono::milliseconds kTickPeriod{ 20 };

  void Run();
  void Handle(const Event& aEvent);
  NodeTime Time() const;

  const Clock& mClock;
  Driver mDriver;
  std::function<void(const Node&)> mAfterTick;
  Node mNode;
  std::mutex mMutex;
  std::condition_variable mPosted;
  std::deque<Event> mEvents;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace skylarkchute
