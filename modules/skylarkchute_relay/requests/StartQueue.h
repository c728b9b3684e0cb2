#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace skylarkchute {

/** Holds the requests that arrive before this process has read the platform's state.

    Answers the restart of all instances at once: their callers connect within milliseconds of the
    start, and what they need to know follows within a tenth of a second; a refusal would send them
    away for much longer. The wait is short and bounded; when the state does not come within it,
    requests are refused at once from then on. */
class StartQueue
{
public:
  explicit StartQueue(boost::asio::io_context& aContext) : mTimer(aContext) {}

  /** Holds requests from now on, until opened or the longest wait is over. */
  void Begin();

  /** Returns whether requests are to be held. */
  bool Holds() const { return mHolds; }

  /** Keeps a request's start for later. Call only while requests are held. */
  void Hold(std::function<void()> aStart) { mWaiting.push_back(std::move(aStart)); }

  /** Starts what was held, in the order of arrival, and holds nothing any more. */
  void Open();

private:
  boost::asio::steady_timer mTimer;
  std::vector<std::function<void()>> mWaiting;
  bool mHolds = false;
};

} // namespace skylarkchute
