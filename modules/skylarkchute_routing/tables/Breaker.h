#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Circuit breaker of one endpoint: closed, open for a growing time, then one probe at a time. */
class Breaker
{
public:
  /** Returns whether the endpoint may be given an attempt. */
  bool Allows(TimePoint aNow) const;

  /** Returns whether the next attempt would be a probe. */
  bool IsProbing() const { return mOpen; }

  /** Returns when an open breaker lets a probe through; the epoch while it is closed. */
  TimePoint OpenUntil() const { return mOpen ? mOpenUntil : TimePoint{}; }

  /** Notes that an attempt was sent. */
  void OnDispatch(TimePoint aNow);

  /** Notes that the attempt ended well. */
  void OnSuccess();

  /** Notes an error answer or a timeout.
      @param aJitter  0 to 1, spreads the probes of several instances
      @returns true when the breaker opened */
  bool OnFailure(TimePoint aNow, double aJitter);

  /** Notes that the endpoint cannot be reached or lost its connections. Opens at once.
      @returns true when the breaker opened */
  bool OnUnreachable(TimePoint aNow, double aJitter);

  /** Notes that an attempt ended without saying anything of the endpoint. */
  void OnNeutral() { mProbeInFlight = false; }

private:
  bool Open(TimePoint aNow, double aJitter);

  bool mOpen = false;
  bool mProbeInFlight = false;
  std::uint32_t mOpenings = 0; /**< In a row, without a lasting recovery. */
  std::uint32_t mSuccesses = 0;
  double mFailureRate = 0; /**< Moving average. */
  std::uint32_t mSamples = 0;
  TimePoint mOpenUntil{};
};

} // namespace skylarkchute
