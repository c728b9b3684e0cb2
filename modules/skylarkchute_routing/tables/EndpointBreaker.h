#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Circuit breaker of one endpoint. It opens for a time that doubles with each opening, then allows
    one probe at a time until one succeeds. */
class EndpointBreaker
{
public:
  /** Returns whether an attempt may be sent to the endpoint. */
  bool Allows(TimePoint aNow) const;

  /** Returns whether the breaker is open, so that any attempt is a probe. */
  bool IsProbing() const { return mOpen; }

  /** Returns the time from which an open breaker allows a probe; the epoch while it is closed. */
  TimePoint OpenUntil() const { return mOpen ? mOpenUntil : TimePoint{}; }

  /** Records that an attempt was sent. */
  void OnDispatch(TimePoint aNow);

  /** Records a successful attempt; closes an open breaker. */
  void OnSuccess();

  /** Records an error response or a timeout.
      @param aJitter  random number, 0 to 1, that spreads the probes of several instances over time
      @returns true if a closed breaker opened */
  bool OnFailure(TimePoint aNow, double aJitter);

  /** Records that the endpoint is unreachable or lost its connections; opens the breaker at once.
      @param aJitter  as for OnFailure
      @returns true if a closed breaker opened */
  bool OnUnreachable(TimePoint aNow, double aJitter);

  /** Records an attempt whose end does not indicate the endpoint's health, such as a
      cancellation. */
  void OnInconclusive() { mProbeInFlight = false; }

private:
  bool Open(TimePoint aNow, double aJitter);

  bool mOpen = false;
  bool mProbeInFlight = false;
  std::uint32_t mOpeningsSinceRecovery = 0; /**< Reset by 20 successes in a row. */
  std::uint32_t mConsecutiveSuccesses = 0;
  double mFailureRate = 0; /**< Exponential moving average, 0 to 1. */
  std::uint32_t mSamples = 0;
  TimePoint mOpenUntil{};
};

} // namespace skylarkchute
