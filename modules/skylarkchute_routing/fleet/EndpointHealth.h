#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** What one instance has seen of an endpoint's answers.

    Answers the loads in which an endpoint fails or slows down while its health check is good: only
    the outcomes of attempts count. An endpoint that fails more than the others of its service is
    left alone for a growing time, until its share of failures has come down again. Requests that
    may run only once stay away for longer (IsDoubtful): the others find out whether it is back. */
class EndpointHealth
{
public:
  /** Returns whether attempts may be sent. */
  bool Allows(TimePoint aNow) const { return aNow >= mAvoidUntil; }

  /** Returns whether an attempt that cannot be repeated has better places to go.
      @param aLeastRate  failure rate of the best endpoint of the service */
  bool IsDoubtful(TimePoint aNow, double aLeastRate) const;

  /** Counts an attempt that ended well.
      @param aRelativeLatency  first answer byte against the mean of such requests, 1 when equal */
  void OnSuccess(TimePoint aNow, double aRelativeLatency);

  /** Counts an attempt that ended in an error, a damaged answer or silence.
      @param aOthersRate  mean failure rate of the service's other endpoints */
  void OnFailure(TimePoint aNow, double aOthersRate);

  /** Notes that no connection could be made, or that one was lost under way. */
  void OnUnreachable(TimePoint aNow);

  /** Returns the moving share of attempts that failed; it fades while nothing is sent. */
  double FailureRate(TimePoint aNow) const;

  /** Returns how many times slower than its service the endpoint answers; about 1 when alike. */
  double Slowness() const { return mSlowness; }

private:
  void Count(TimePoint aNow, bool aHasFailed);
  void Avoid(TimePoint aNow);

  double mFailureRate = 0; /**< At mCountedAt. */
  TimePoint mCountedAt{};
  double mSlowness = 1;
  std::uint32_t mAvoidances = 0; /**< Since it last was like the others. */
  TimePoint mAvoidUntil{};
};

} // namespace skylarkchute
