#pragma once

#include <skylarkchute_peers/skylarkchute_peers.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <functional>
#include <set>

namespace skylarkchute {

/** Messages and payload bytes that one instance sent and received. */
struct Traffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
};

/** Delivers peer calls between simulated instances with latency, message loss and instance
    failures, on a manual clock. */
class SimulatedPeerNetwork
{
public:
  /** Serves a call at an instance and returns the result. */
  using ServeFunction = std::function<std::string(std::size_t, const PeerCall&)>;
  /** Receives the reply to a call of an instance. */
  using ReplyFunction = std::function<void(std::size_t, const PeerCall&, const PeerReply&)>;

  SimulatedPeerNetwork(std::size_t aCount, std::uint32_t aSeed) : mTraffic(aCount), mRandom(aSeed)
  {
  }

  static InstanceId IdOf(std::size_t aIndex)
  {
    return InstanceId("instance-" + std::to_string(aIndex));
  }

  static std::size_t IndexOf(const InstanceId& aId)
  {
    return std::stoul(aId.Value().substr(std::string("instance-").size()));
  }

  std::uint32_t Draw(std::uint32_t aHigh)
  {
    return boost::random::uniform_int_distribution<std::uint32_t>(0, aHigh)(mRandom);
  }

  void Send(std::size_t aFrom, const std::vector<PeerCall>& aCalls)
  {
    for (const auto& it : aCalls) {
      Count(aFrom, it.mParams.size());
      const bool lost = Draw(999) < mLossPermille;
      mQueue.emplace(mClock.Now() + Latency(), Event{ aFrom, it, false, lost, {} });
    }
  }

  /** Advances the clock by one step and delivers the events that are due. */
  void Advance(std::chrono::milliseconds aStep)
  {
    mClock.Advance(aStep);
    while (!mQueue.empty() && mQueue.begin()->first <= mClock.Now()) {
      auto event = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      if (event.mIsReply) {
        if (mDown.count(event.mFrom) == 0) {
          mReply(event.mFrom, event.mCall, event.mReply);
        }
        continue;
      }
      Serve(std::move(event));
    }
  }

  ManualClock mClock;
  std::uint32_t mLossPermille = 0;
  std::set<std::size_t> mDown; /**< Instances that neither send nor receive. */
  std::vector<Traffic> mTraffic;
  ServeFunction mServe;
  ReplyFunction mReply;

private:
  struct Event
  {
    std::size_t mFrom = 0;
    PeerCall mCall;
    bool mIsReply = false;
    bool mLost = false;
    PeerReply mReply;
  };

  void Serve(Event aEvent)
  {
    const auto to = IndexOf(aEvent.mCall.mTo);
    aEvent.mReply.mId = aEvent.mCall.mId;
    aEvent.mReply.mFrom = aEvent.mCall.mTo;
    aEvent.mIsReply = true;
    if (aEvent.mLost || mDown.count(to) != 0) {
      const auto at = mClock.Now() + aEvent.mCall.mTimeout;
      mQueue.emplace(at, std::move(aEvent));
      return;
    }
    Count(to, aEvent.mCall.mParams.size());
    aEvent.mReply.mResult = mServe(to, aEvent.mCall);
    Count(to, aEvent.mReply.mResult.size());
    Count(aEvent.mFrom, aEvent.mReply.mResult.size());
    aEvent.mReply.mOk = Draw(999) >= mLossPermille;
    const auto wait = aEvent.mReply.mOk ? Latency() : aEvent.mCall.mTimeout;
    mQueue.emplace(mClock.Now() + wait, std::move(aEvent));
  }

  void Count(std::size_t aIndex, std::size_t aBytes)
  {
    ++mTraffic[aIndex].mMessages;
    mTraffic[aIndex].mBytes += aBytes;
  }

  std::chrono::milliseconds Latency() { return std::chrono::milliseconds(1 + Draw(3)); }

  boost::random::mt19937 mRandom;
  std::multimap<TimePoint, Event> mQueue;
};

} // namespace skylarkchute
