#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** How long work takes at an endpoint compared with the others of its service. Performs no I/O.

    Its long-term speed is learned from the answers that this instance gets. The pace of its machine
    is what the endpoint last stated. Endpoints that share a machine slow down for about
    kPaceLifetime at a time, so that the statement loses weight over that time. */
class EndpointPace
{
public:
  /** Time after which a statement of the pace says nothing any more. */
  static constexpr std::chrono::milliseconds kPaceLifetime{ 600 };

  /** Records an answer.
      @param aRelativeLatency  time to the first byte divided by the usual one of such requests. It
                               is not corrected for the load: engines run the requests in their
                               slots side by side, and a correction hid the speeds in replays. */
  void OnAnswer(double aRelativeLatency, TimePoint aNow);

  /** Records a pace, unless a later one is known.
      @param aPace  multiple of the usual time
      @param aAt    when the endpoint stated it */
  void OnPace(double aPace, TimePoint aAt);

  /** Returns the usual time for a piece of work, relative to other endpoints; 1 while unknown. */
  double Speed() const;

  /** Returns the pace expected at this moment, 1 if none is known. */
  double Pace(TimePoint aNow) const;

  /** Returns how long a piece of work is expected to take, relative to the others, without the
      effect of load. */
  double Factor(TimePoint aNow) const { return Speed() * Pace(aNow); }

private:
  double mLogSpeed = 0;
  std::uint32_t mAnswers = 0; /**< Counted up to kSettledAnswers. */
  double mPace = 1;
  TimePoint mPaceAt{};
};

} // namespace skylarkchute
