#pragma once

#include "../net/HttpCall.h"

#include <platform/StoreCodec.h>

namespace skylarkchute {

/** Finds out whether the store still answers this instance and which state it has reached, by cheap
    reads. A watch that waits for a change looks the same whether nothing has changed, the answer
   was lost or the store has gone silent for this instance alone. */
class StoreProbe
{
public:
  StoreProbe(boost::asio::io_context& aContext, const std::string& aAddress);

  /** Reads unless a read is in progress. To be called every kInterval. */
  void Tick();

  /** Records another answer of the store. */
  void OnAnswer(TimePoint aNow);

  /** Cancels the read in progress. */
  void Stop();

  /** Returns the era that the store named last; zero if none. */
  std::uint64_t Era() const { return mEra; }

  /** Returns the state that the store named last; zero if none. It may be seconds old. */
  StoreVersion State() const { return mState; }

  /** Returns when the store answered last. */
  TimePoint AnsweredAt() const { return mAnsweredAt; }

  /** Returns whether the store has not answered for kSilenceTimeout. */
  bool IsSilent(TimePoint aNow) const { return aNow - mAnsweredAt >= kSilenceTimeout; }

  static constexpr std::chrono::milliseconds kInterval{ 400 };

  /** Without an answer for this long, the store is taken to be silent. */
  static constexpr std::chrono::milliseconds kSilenceTimeout{ 1000 };

private:
  std::shared_ptr<HttpCall> mCall;
  TimePoint mAnsweredAt{};
  std::uint64_t mEra = 0;
  StoreVersion mState = 0;
};

} // namespace skylarkchute
