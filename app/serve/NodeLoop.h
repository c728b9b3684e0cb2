#pragma once

#include <skylarkchute_node/skylarkchute_node.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace skylarkchute {

/** Runs a node on its own thread. Events may be posted from any thread and are handled in order.
    The resulting actions are passed to the action handler on the node's thread. */
class NodeLoop
{
public:
  /** Passes one event to the node and returns the resulting actions. */
  using Event = std::function<NodeActions(Node&, NodeTime)>;

  /** Executes one action. Called on the node's thread only; must not block. */
  using ActionHandler = std::function<void(const NodeAction&)>;

  /** @param aAfterTick  called on the node's thread after each tick */
  NodeLoop(NodeOptions aOptions,
           const Clock& aClock,
           ActionHandler aActionHandler,
           std::function<void(const Node&)> aAfterTick);
  ~NodeLoop();

  NodeLoop(const NodeLoop&) = delete;
  NodeLoop& operator=(const NodeLoop&) = delete;

  /** Starts the thread. */
  void Start();

  /** Stops and joins the thread. Events still queued or posted later are ignored. */
  void Stop();

  /** Queues an event for the node. Does not block. */
  void Post(Event aEvent);

  /** Runs a query on the node's thread and waits for its result.
      @returns nothing if there is no result within 1 s */
  template<typename Result>
  std::optional<Result> Query(std::function<Result(Node&, NodeTime)> aQuery)
  {
    const auto promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    Post([promise, aQuery](Node& aNode, NodeTime aTime) {
      promise->set_value(aQuery(aNode, aTime));
      return NodeActions();
    });
    if (future.wait_for(kQueryTimeout) != std::future_status::ready) {
      return std::nullopt;
    }
    return future.get();
  }

private:
  static constexpr std::chrono::milliseconds kQueryTimeout{ 1000 };
  static constexpr std::chrono::milliseconds kTickPeriod{ 20 };

  void Run();
  void Handle(const Event& aEvent);
  NodeTime Time() const;

  const Clock& mClock;
  ActionHandler mActionHandler;
  std::function<void(const Node&)> mAfterTick;
  Node mNode;
  std::mutex mMutex;
  std::condition_variable mPosted;
  std::deque<Event> mEvents;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace skylarkchute
