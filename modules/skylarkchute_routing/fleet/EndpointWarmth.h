#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <algorithm>
#include <chrono>
#include <optional>

namespace skylarkchute {

/** Until when an endpoint is cold, by its entry and the heads of its answers, and when this
   instance may next send to it. Performs no I/O. */
class EndpointWarmth
{
public:
  /** Longer times are cut to this; an endpoint that states more is in error. */
  static constexpr std::chrono::milliseconds kMaxCold{ 60000 };

  /** Records the endpoint's entry. The time that it states counts from the next Update().
      @param aIsNew      the entry is of an incarnation that was not known
      @param aRemaining  how long it stays cold; nothing if the entry does not say */
  void OnEntry(bool aIsNew, std::optional<std::chrono::milliseconds> aRemaining)
  {
    mStated = aRemaining;
    mIsNew = aIsNew || mIsNew;
  }

  /** Records that the endpoint may have become cold unseen, since nothing was sent to it. */
  void OnUnseen()
  {
    mIsNew = true;
    mStated.reset();
  }

  /** Records how long the endpoint stays cold, as it says itself. */
  void OnStated(std::chrono::milliseconds aRemaining, TimePoint aNow)
  {
    mStated.reset();
    mIsNew = false;
    mColdUntil = aNow + std::clamp(aRemaining, std::chrono::milliseconds(0), kMaxCold);
  }

  /** Applies what OnEntry() and OnUnseen() have recorded. An entry is older than what the endpoint
      says itself, so it may prolong the time of a known incarnation, but does not shorten it.
      @param aWarmup  time for which the service's endpoints are cold after their start */
  void Update(std::chrono::milliseconds aWarmup, TimePoint aNow)
  {
    if (mStated || mIsNew) {
      const auto time =
        std::clamp(mStated.value_or(aWarmup), std::chrono::milliseconds(0), kMaxCold);
      mColdUntil = std::max(mColdUntil, aNow + time);
      mStated.reset();
      mIsNew = false;
    }
  }

  bool IsCold(TimePoint aNow) const { return aNow < mColdUntil; }
  TimePoint ColdUntil() const { return mColdUntil; }

  /** When this instance may send the next request; nothing until it is determined. */
  std::optional<TimePoint> mNextSend;
  bool mWasCold = false; /**< At the last look of ColdEndpointPacing. */

private:
  std::optional<std::chrono::milliseconds> mStated;
  bool mIsNew = false;
  TimePoint mColdUntil{};
};

} // namespace skylarkchute
