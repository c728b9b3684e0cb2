#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace skylarkchute {

/** Load that an endpoint reported with an answer, in requests. */
struct ReportedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  /** How long work takes on the endpoint's machine at this moment, as a multiple of the usual time;
      nothing if the endpoint does not state it. */
  std::optional<double> mPace = std::nullopt;
};

/** Whether a brittle endpoint has room for another request of this instance, by the loads that it
    reports and the requests that it rejects. Performs no I/O.

    An endpoint that rejected a request gets none from this instance for so long that all instances
    together cause about half of the rejections that it survives. A report of free room ends that
    time. */
class EndpointRoom
{
public:
  /** Records a report by which the endpoint is full.
      @param aInstances  number of live instances */
  void OnFull(std::size_t aInstances, TimePoint aNow);

  /** Records a report by which the endpoint has room. */
  void OnFree(TimePoint aNow);

  /** Records a rejection.
      @param aLimit      rejections per second that the endpoint survives
      @param aInstances  number of live instances
      @param aSpread     random number, 0 to 1 */
  void OnRejected(double aLimit, std::size_t aInstances, double aSpread, TimePoint aNow);

  /** Records that the endpoint could not be reached or lost its requests.
      @returns whether this is the first time since its last report */
  bool OnNotReached() { return !std::exchange(mIsLost, true); }

  /** Returns whether the endpoint could not be reached since its last report. */
  bool IsLost() const { return mIsLost; }

  /** Returns the time until a request may be sent; zero if one may be sent now. */
  std::chrono::milliseconds WaitTime(TimePoint aNow) const;

private:
  TimePoint mFullUntil{};
  bool mIsLost = false;
};

} // namespace skylarkchute
