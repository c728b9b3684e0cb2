#pragma once

#include "FakeObjectStore.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace skylarkchute {

/** Simulates asynchronous calls of several instances to a FakeObjectStore, with seeded random
    latencies.

    Besides the faults of FakeObjectStore, a call may take effect after its caller received the
    status Unknown. */
class DelayedObjectStore
{
public:
  struct Options
  {
    std::chrono::microseconds mMinLatency{ 500 };  /**< Minimum one-way latency. */
    std::chrono::microseconds mMaxLatency{ 4000 }; /**< Maximum one-way latency. */
    std::uint32_t mLostPermille = 0;               /**< The call takes effect, its reply is lost. */
    std::uint32_t mLatePermille = 0; /**< Takes effect after the caller received Unknown. */
    std::uint32_t mUnavailablePermille = 0;
    std::uint32_t mThrottledPermille = 0;
  };

  /** The reply to one call. */
  struct Delivery
  {
    std::size_t mInstance = 0;
    ObjectReply mReply;
  };

  DelayedObjectStore(FakeObjectStore& aStore, Options aOptions, std::uint32_t aSeed)
    : mStore(aStore)
    , mOptions(aOptions)
    , mRandom(aSeed)
  {
  }

  /** Replaces the latencies and fault rates for later calls. */
  void SetOptions(Options aOptions) { mOptions = aOptions; }

  /** Draws a fault and latencies for a call and schedules it. */
  void Send(std::size_t aInstance, const ObjectCall& aCall, TimePoint aNow)
  {
    ObjectReply failure;
    failure.mId = aCall.mId;
    const auto draw = Draw(0, 999);
    auto limit = mOptions.mUnavailablePermille;
    if (draw < limit) {
      failure.mStatus = ObjectStatus::Unavailable;
      Schedule(aNow + Latency(), { aInstance, failure });
      return;
    }
    limit += mOptions.mThrottledPermille;
    if (draw < limit) {
      failure.mStatus = ObjectStatus::Throttled;
      failure.mRetryAfter = std::chrono::milliseconds(5);
      Schedule(aNow + Latency(), { aInstance, failure });
      return;
    }
    limit += mOptions.mLostPermille;
    const auto arrival = aNow + Latency();
    if (draw < limit) {
      mQueue.emplace(arrival, Event{ aInstance, aCall, true, {} });
      Schedule(aNow + aCall.mTimeout, { aInstance, failure });
      return;
    }
    limit += mOptions.mLatePermille;
    if (draw < limit) {
      Schedule(aNow + aCall.mTimeout, { aInstance, failure });
      const auto late = aNow + aCall.mTimeout + std::chrono::milliseconds(Draw(0, 400));
      mQueue.emplace(late, Event{ aInstance, aCall, true, {} });
      return;
    }
    mQueue.emplace(arrival, Event{ aInstance, aCall, false, {} });
  }

  /** Returns the time of the next scheduled event, if any. */
  std::optional<TimePoint> NextTime() const
  {
    return mQueue.empty() ? std::nullopt : std::optional<TimePoint>(mQueue.begin()->first);
  }

  /** Executes the calls due by @p aNow and returns the replies that have arrived by then. */
  std::vector<Delivery> Advance(TimePoint aNow)
  {
    std::vector<Delivery> due;
    while (!mQueue.empty() && mQueue.begin()->first <= aNow) {
      const auto at = mQueue.begin()->first;
      auto event = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      if (event.mDelivery) {
        due.push_back(std::move(*event.mDelivery));
        continue;
      }
      const auto reply = mStore.Call(event.mCall);
      if (!event.mReplyDropped) {
        Schedule(at + Latency(), { event.mInstance, reply });
      }
    }
    return due;
  }

private:
  struct Event
  {
    std::size_t mInstance = 0;
    ObjectCall mCall;
    bool mReplyDropped = false; /**< The call takes effect, but no reply is delivered. */
    std::optional<Delivery> mDelivery;
  };

  std::uint32_t Draw(std::uint32_t aLow, std::uint32_t aHigh)
  {
    return boost::random::uniform_int_distribution<std::uint32_t>(aLow, aHigh)(mRandom);
  }

  std::chrono::microseconds Latency()
  {
    return std::chrono::microseconds(
      Draw(static_cast<std::uint32_t>(mOptions.mMinLatency.count()),
           static_cast<std::uint32_t>(mOptions.mMaxLatency.count())));
  }

  void Schedule(TimePoint aTime, Delivery aDelivery)
  {
    mQueue.emplace(aTime, Event{ 0, {}, false, std::move(aDelivery) });
  }

  FakeObjectStore& mStore;
  Options mOptions;
  boost::random::mt19937 mRandom;
  std::multimap<TimePoint, Event> mQueue;
};

} // namespace skylarkchute
