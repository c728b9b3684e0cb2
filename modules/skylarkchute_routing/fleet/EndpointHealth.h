#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** What one instance has seen of an endpoint's answers.

    Answers the loads in which an endpoint fails or slows down while its health check is good: only
    the outcomes of attempts count. An endpoint is left alone for a growing time, then one attempt
    at a time finds out whether it is back. */
class EndpointHealth
{
public:
  /** Returns whether attempts may be sent. */
  bool Allows(TimePoint aNow) const { return aNow >= mAvoidUntil; }

  /** Counts an attempt that ended well.
      @param aRelativeLatency  first answer byte against the mean of such requests, 1 when equal */
  void OnSuccess(double aRelativeLatency);

  /** Counts an attempt that ended in an error, a damaged answer or silence. */
  void OnFailure(TimePoint aNow, double aServiceFailureRate);

  /** Notes that no connection could be made, or that one was lost under way. */
  void OnUnreachable(TimePoint aNow);

  /** Returns the moving share of attempts that failed. */
  double FailureRate() const { return mFailureRate; }

  /** Returns how many times slower than its service the endpoint answers; about 1 when alike. */
  double Slowness() const { return mSlowness; }

private:
  void Avoid(TimePoint aNow);

  double mFailureRate = 0;
  double mSlowness = 1;
  std::uint32_t mSamples = 0;
  std::uint32_t mAvoidances = 0; /**< In a row, without a success between them. */
  TimePoint mAvoidUntil{};
};

} // namespace skylarkchute
