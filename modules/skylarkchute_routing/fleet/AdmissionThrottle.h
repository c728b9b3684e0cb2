#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>

namespace skylarkchute {

/** Part of the requests that one instance may send to the brittle endpoints of a service, by the
    loads that endpoints report with their answers. Performs no I/O.

    Each report is a sample. The part shrinks by the time for which samples are congested and grows
    by the time for which they are not, so that instances with many samples and with few arrive at
    the same part without messages. Load pattern: more requests than the endpoints serve, at many
    instances, each of which sees little of it. */
class AdmissionThrottle
{
public:
  /** Records a sample.
      @param aIsCongested  the endpoint has little room left
      @param aLimit        rejections per second that the endpoints survive; the lower it is, the
                           faster the part shrinks */
  void OnSample(bool aIsCongested, double aLimit, TimePoint aNow);

  /** Records that a part of the service's slots is lost.
      @param aPart  0 to 1 */
  void OnRoomLost(double aPart);

  /** Returns the part of the requests that may be sent, above 0 to 1. Less urgent requests give way
      first.
      @param aRank  number of more urgent priorities of the service */
  double Share(std::size_t aRank) const;

  /** Returns the time until all requests are admitted if no further sample is congested. */
  std::chrono::milliseconds RecoveryTime() const;

private:
  double mShare = 1; /**< At mSampledAt. */
  TimePoint mSampledAt{};
};

} // namespace skylarkchute
