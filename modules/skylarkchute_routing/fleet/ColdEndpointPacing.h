#pragma once

#include "ColdBound.h"
#include "FleetTable.h"
#include "RelayConfig.h"

#include <random>

namespace skylarkchute {

/** This instance's share of the requests that cold endpoints take. Performs no I/O.

    Few instances use a cold endpoint: as many as it takes requests in a second, by the rendezvous
    order of all instances that may be alive for the endpoint's id. Each sends at a fixed interval
    from a random phase on, so that in no second all together send more than the endpoint's rate.
    The bound above the rate is left for views of the instances that differ, and for requests that
    arrive later than others. The order does not depend on who is in contact with whom, so that
    groups that are cut off from each other determine the same users. While the instances that may
   be alive are not known, nothing is sent. */
class ColdEndpointPacing
{
public:
  explicit ColdEndpointPacing(std::uint32_t aSeed) : mRandom(aSeed) {}

  /** Sets the bound; nothing switches the pacing off. */
  void SetBound(const std::optional<ColdBound>& aBound) { mBound = aBound; }

  /** Sets all instances that may be alive, this one included, or nothing while they are unknown. */
  void SetInstances(InstanceId aSelf, std::optional<std::vector<InstanceId>> aPossible);

  /** Returns whether the instances that may be alive are known. */
  bool IsShareKnown() const { return mPossible.has_value(); }

  /** Returns whether the cold endpoints of a service are paced. */
  bool Paces(const RelayService* aService) const;

  /** Returns whether an endpoint is cold and paced. */
  bool IsCold(FleetRow& aRow, const RelayService* aService, TimePoint aNow) const;

  /** Returns whether a request may be sent to an endpoint now. */
  bool Allows(FleetRow& aRow, const RelayService* aService, TimePoint aNow);

  /** Records that a request is about to be sent. */
  void OnRequest(FleetRow& aRow, const RelayService* aService, TimePoint aNow);

  /** Returns the time until Allows() may return true; zero if it does now. */
  std::chrono::milliseconds WaitTime(FleetRow& aRow, const RelayService* aService, TimePoint aNow);

  /** Returns the endpoints that have become cold since the last call, with the time that they stay
      so. */
  std::vector<std::pair<EndpointId, std::chrono::milliseconds>>
  TakeBecameCold(FleetTable& aTable, const ConfigIndex& aConfig, TimePoint aNow);

private:
  /** Returns the time between two requests of this instance, or nothing if others use the endpoint.
   */
  std::optional<std::chrono::milliseconds> Interval(const EndpointId& aEndpoint, double aRate);
  TimePoint NextSend(FleetRow& aRow, const RelayService& aService, TimePoint aNow);

  std::optional<ColdBound> mBound;
  InstanceId mSelf;
  std::optional<std::vector<InstanceId>> mPossible;
  std::map<EndpointId, std::size_t> mRanks; /**< Of this instance, by endpoint. */
  std::minstd_rand mRandom;
};

} // namespace skylarkchute
