#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace skylarkchute {

/** Holds the requests that arrive before this process has read the platform's state.

    This covers a simultaneous restart of all instances: callers reconnect within milliseconds of
    the start, but the state comes from the seeds, which may start half a second later, and a
    refused caller would retry only much later than that. The hold is limited to 1 s. If the state
    is not available by then, the held requests are started without it, and later ones are no longer
    held, so that they are refused at once. */
class StartupQueue
{
public:
  explicit StartupQueue(boost::asio::io_context& aContext) : mTimer(aContext) {}

  /** Starts holding requests, until StopHolding() is called or the maximum hold time has passed. */
  void StartHolding();

  /** Returns whether new requests are to be passed to Hold(). */
  bool IsHolding() const { return mIsHolding; }

  /** Queues a request. Call only while IsHolding() returns true.
      @param aStart  starts the request; called by StopHolding() */
  void Hold(std::function<void()> aStart) { mWaiting.push_back(std::move(aStart)); }

  /** Stops holding and starts the queued requests in the order of arrival. */
  void StopHolding();

private:
  boost::asio::steady_timer mTimer;
  std::vector<std::function<void()>> mWaiting;
  bool mIsHolding = false;
};

} // namespace skylarkchute
