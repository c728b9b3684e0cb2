#pragma once

#include "../net/HttpCall.h"

#include <platform/StoreCodec.h>

#include <array>
#include <functional>

namespace skylarkchute {

/** Finds out whether the store still answers this instance and which state it has reached, by cheap
    reads. A watch that waits for a change looks the same whether nothing has changed, the answer
   was lost or the store has gone silent for this instance alone. */
class StoreProbe
{
public:
  /** @param aOnAnswer  called after each answer to a read */
  StoreProbe(
    boost::asio::io_context& aContext,
    const std::string& aAddress,
    std::function<void()> aOnAnswer = [] {});

  /** Begins to expect answers. */
  void Start(TimePoint aNow) { mExpectedSince = aNow; }

  /** Reads, on another connection than the reads in progress: the store does not answer these if it
      was silent when they reached it. To be called every kInterval. */
  void Tick();

  /** Records another answer of the store. */
  void OnAnswer(TimePoint aNow);

  /** Cancels the reads in progress. */
  void Stop();

  /** Returns the era that the store named last; zero if none. */
  std::uint64_t Era() const { return mEra; }

  /** Returns the state that the store named last; zero if none. It may be seconds old. */
  StoreVersion State() const { return mState; }

  /** Returns when the store answered last. */
  TimePoint AnsweredAt() const { return mAnsweredAt; }

  /** Returns whether the store has not answered for kSilenceTimeout. */
  bool IsSilent(TimePoint aNow) const
  {
    return aNow - std::max(mAnsweredAt, mExpectedSince) >= kSilenceTimeout;
  }

  static constexpr std::chrono::milliseconds kInterval{ 400 };

  /** Time after which a read fails. */
  static constexpr std::chrono::milliseconds kCallTimeout{ 1200 };

  /** Without an answer for this long, the store is taken to be silent. */
  static constexpr std::chrono::milliseconds kSilenceTimeout{ 1000 };

private:
  static constexpr std::size_t kMaxCalls = kCallTimeout / kInterval;

  void OnResult(const CallResult& aResult);

  std::array<std::shared_ptr<HttpCall>, kMaxCalls> mCalls;
  std::function<void()> mOnAnswer;
  TimePoint mExpectedSince{};
  TimePoint mAnsweredAt{};
  std::uint64_t mEra = 0;
  StoreVersion mState = 0;
};

} // namespace skylarkchute
