#pragma once

#include "AdmissionThrottle.h"
#include "FleetTable.h"

#include <map>
#include <vector>

namespace skylarkchute {

/** Properties of a request that determine which endpoints it may be sent to. */
struct AdmissionRequest
{
  std::size_t mRank = 0;     /**< @see RequestPlan::mRank */
  bool mWasRejected = false; /**< By an endpoint. */
  double mDraw = 0;          /**< Random number, 0 to 1. */
};

/** Keeps requests from brittle endpoints that have no room for them.

    A brittle endpoint fails when it rejects more requests in a second than it names. Its load then
    moves to the others, which reject more. All instances together cause these rejections, each of
    which knows only what endpoints tell it. Therefore requests are refused here before endpoints
    reject them: a part of them while endpoints report little room (AdmissionThrottle), all while an
    endpoint counts as full (EndpointRoom), and those that an endpoint has rejected once. */
class BrittleAdmission
{
public:
  /** Sets the number of live instances. */
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }

  /** Determines the services of which an endpoint is brittle. To be called when endpoints or what
      they say may have changed. */
  void Update(const FleetTable& aTable, TimePoint aNow);

  /** Returns whether an endpoint of a service is brittle. */
  bool IsBrittle(const ServiceName& aService) const { return Find(aService) != nullptr; }

  /** Records a load that an endpoint reported.
      @param aIsEngine  it is a model engine, where a slot is taken for seconds; one without a free
                        slot is full */
  void OnReport(FleetRow& aRow, bool aIsEngine, TimePoint aNow);

  /** Records that an endpoint could not be reached or lost its requests. */
  void OnNotReached(FleetRow& aRow, const FleetTable& aTable);

  /** Records that an endpoint rejected a request.
      @param aSpread  random number, 0 to 1 */
  void OnRejected(FleetRow& aRow, double aSpread, TimePoint aNow);

  /** Removes the brittle endpoints that must not get a request.
      @param aRows  endpoints of one service */
  void RemoveFull(std::vector<FleetRow*>& aRows,
                  const AdmissionRequest& aRequest,
                  TimePoint aNow) const;

  /** Returns the part of the most urgent requests to a service that may be sent to brittle
      endpoints, 0 to 1. */
  double ShareOf(const ServiceName& aService) const;

  /** Returns the time after which a request that was refused is likely to be admitted.
      @param aRows  endpoints of one service, at least one */
  std::chrono::milliseconds WaitTime(const std::vector<FleetRow*>& aRows, TimePoint aNow) const;

private:
  /** State of a service of which an endpoint is brittle. */
  struct Service
  {
    TimePoint mSince{};
    double mRejectionLimit = 0; /**< Lowest that an endpoint names. */
    bool mIsNamed = false;
    bool mIsEngine = false;
    std::optional<double> mPlaces; /**< Requests that wait at an endpoint when it rejects. */
    AdmissionThrottle mThrottle;
  };

  static double PlacesOf(const Service& aService, const FleetRow& aRow);
  static bool IsFull(const Service& aService, const FleetRow& aRow, double aShare);

  std::optional<double> RejectionLimitOf(const FleetRow& aRow) const;
  const Service* Find(const ServiceName& aService) const;

  std::map<ServiceName, Service> mServices;
  std::size_t mInstances = 1;
};

} // namespace skylarkchute
