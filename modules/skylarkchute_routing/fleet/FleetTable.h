#pragma once

#include "EndpointDepartures.h"
#include "EndpointHealth.h"
#include "EndpointLimitShares.h"
#include "EndpointPace.h"
#include "EndpointRoom.h"
#include "EndpointWarmth.h"
#include "FleetEndpoint.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** State that this instance keeps for one endpoint. */
struct FleetRow
{
  FleetEndpoint mEntry;
  EndpointHealth mHealth;
  EndpointNotices mNotices;
  EndpointRoom mRoom;
  EndpointWarmth mWarmth;
  std::uint32_t mOutstanding = 0; /**< Attempts of this instance in progress. */
  std::uint32_t mOutstandingAtReport = 0;
  ReportedLoad mReport;
  TimePoint mReportedAt{};
  /** Set while its entry is missing after a store outage. */
  std::optional<TimePoint> mMissingSince;
  /** It is leaving although its entry in the store does not say so. */
  bool mIsLeavingUnseen = false;
  bool mStatesPace = false; /**< It has stated the pace of its machine. @see ReportedLoad::mPace */
  bool mWasRemoved = false; /**< Its entry was removed, and brought back by a copy of the store. */
  EndpointPace mPace;
  bool mUsesFleetLoad = false; /**< @see FleetRouter::UsesFleetLoad */
  /** Mean load by other instances of an endpoint of this size of the service; used in place of a
      report as that grows old. */
  double mTypicalOthers = 0;
  std::uint32_t mDigestKey = 0;            /**< @see LoadDigest::KeyOf */
  std::uint8_t mReportSends = 0;           /**< Times that the last report was passed on. */
  std::array<TimePoint, 4> mLastPlanned{}; /**< Of this instance's attempts, in a ring. */
  std::uint32_t mPlanned = 0;              /**< Attempts of this instance so far. */

  /** Returns the estimated number of requests on the endpoint: the attempts of this instance plus
      the load of the other instances from the last report, which is discounted with its age. With
      mUsesFleetLoad the report is used for longer, and the mean of the service takes its place. */
  double EstimatedLoad(TimePoint aNow) const;

  /** Like EstimatedLoad(), but without the mean of the service, so that a lack of reports counts as
      free room. */
  double KnownLoad(TimePoint aNow) const;

  /** Returns the load by other instances as of the last report. */
  double ReportedOthers() const;

  /** Returns the weight of the last report by its age, 0 to 1. */
  double ReportWeight(TimePoint aNow) const;

  /** Returns how much longer work takes at an endpoint with a load than at an idle one. */
  static double Crowding(double aLoad, double aSlots);

  /** Returns the number of requests that the endpoint runs at a time. */
  double Slots() const;

  /** Records a load report, unless a later one is known.
      @param aAt  when the endpoint stated it; earlier than now if another instance passed it on
      @returns whether it was the latest */
  bool OnReport(const ReportedLoad& aLoad, TimePoint aAt, TimePoint aNow);

  /** Counts a planned attempt of this instance. */
  void OnPlanned(TimePoint aNow);

  /** Returns whether the last report is recent enough to be used. */
  bool HasFreshReport(TimePoint aNow) const;

  /** Returns whether new requests may be sent. */
  bool IsOpen() const { return !mEntry.mDraining && !mNotices.IsLeaving() && !mWasRemoved; }
};

/** All endpoints of the platform's endpoint list.

    A removed entry is normally dropped at once. In a store outage, entries expire although their
    endpoints are still running. Such an entry is kept until the endpoint has had time to register
    again. */
class FleetTable
{
public:
  /** How long a missing entry is kept after a store outage, so that it can be registered again. */
  static constexpr std::chrono::milliseconds kReregistrationPeriod{ 2300 };

  /** Adds or replaces an endpoint. A new incarnation or address under a known id starts with fresh
      health and load data; only the number of attempts in progress is kept, and what the same
      incarnation has said of itself, also if its entry was missing meanwhile. A draining endpoint
      stays so until then; one that was removed stays closed until it registers anew. */
  void Upsert(const FleetEndpoint& aEntry);

  /** Removes an endpoint.
      @param aMayReregister  whether the entry may have expired because of a store outage; if so,
                             an endpoint that is not draining is kept for kReregistrationPeriod */
  void Remove(const EndpointId& aId, bool aMayReregister, TimePoint aNow);

  /** Drops the entries that were not registered again within kReregistrationPeriod.
      @returns the ids of the dropped endpoints */
  std::vector<EndpointId> DropExpired(TimePoint aNow);

  /** Records that an endpoint has left, as another instance says.
      @returns whether the endpoint got new requests until now */
  bool OnDeparture(const EndpointDeparture& aDeparture, TimePoint aNow);

  /** Returns the endpoints that have left although the store does not say so, or may not. */
  std::vector<EndpointDeparture> Departures(TimePoint aNow) const;

  /** Returns the row of an endpoint, or null if it is unknown. */
  FleetRow* Find(const EndpointId& aId);

  /** Begins or ends the evacuation of an availability zone, whose endpoints get no new requests
      meanwhile.
      @returns whether this changes anything */
  bool SetEvacuated(const ZoneName& aZone, bool aIsEvacuated);

  /** Returns whether an availability zone is evacuated. */
  bool IsEvacuated(const ZoneName& aZone) const { return mEvacuated.count(aZone) > 0; }

  /** Returns whether an endpoint may be contacted at all, also to learn whether it is up: it is
      unknown, or not in an evacuated zone. */
  bool MayContact(const EndpointId& aId) const;

  const std::set<ZoneName>& EvacuatedZones() const { return mEvacuated; }

  /** Sets that no endpoint gets requests until AllowUse(): the rollouts or the evacuations are not
      yet known. */
  void HoldUse() { mIsHeld = true; }
  void AllowUse() { mIsHeld = false; }

  /** Returns the rows of a service's endpoints that accept new requests, without those in evacuated
      zones. */
  std::vector<FleetRow*> OpenRows(const ServiceName& aService);

  /** Returns the utilization of a service's open endpoints: requests per slot, 0 without slots. A
      waiting request counts as three running ones, because engines run out of memory and prompt
      processing time before they run out of slots. */
  double Pressure(const ServiceName& aService, TimePoint aNow) const;

  /** Updates FleetRow::mTypicalOthers of the rows with FleetRow::mUsesFleetLoad. To be called
      several times a second. */
  void UpdateTypicalLoads(TimePoint aNow);

  /** Returns the mean time since the last reports of a service's open endpoints, by reports that
      are still used. */
  std::chrono::milliseconds ViewAge(const ServiceName& aService, TimePoint aNow) const;

  /** Returns the share of a service's open endpoints whose last report is still used, 0 to 1; 1
      without endpoints. Those in evacuated zones do not count. */
  double ViewShare(const ServiceName& aService, TimePoint aNow) const;

  /** Returns whether an endpoint of a service has stated the pace of its machine. */
  bool StatesPace(const ServiceName& aService) const;

  /** Sets the part of this instance in each limit that an endpoint names. To be called when a
     limit, the endpoints or the instances may have changed. */
  void UpdateLimitShares(EndpointLimitShares& aShares, TimePoint aNow);

  /** Sets the number of instances. Without a recent report, Pressure() estimates the load of an
      endpoint as this instance's own attempts times this number. */
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }

  /** Returns all rows by endpoint id. */
  const std::map<EndpointId, FleetRow>& All() const { return mRows; }
  std::map<EndpointId, FleetRow>& All() { return mRows; }

private:
  /** What an endpoint has said of itself, kept after its row was dropped. */
  struct FormerNotices
  {
    std::uint64_t mIncarnationStart = 0;
    EndpointNotices mNotices;
    TimePoint mDroppedAt{};
  };

  bool IsUsable(const FleetRow& aRow) const;
  static EndpointDeparture DepartureOf(const FleetRow& aRow);
  void KeepNotices(const FleetRow& aRow, TimePoint aNow);
  void RestoreNotices(FleetRow& aRow, const FleetEndpoint& aEntry);

  std::map<EndpointId, FleetRow> mRows;
  std::map<EndpointId, FormerNotices> mFormerNotices;
  EndpointDepartures mDepartures;
  std::set<ZoneName> mEvacuated;
  bool mIsHeld = false;
  std::uint64_t mEra = 0; /**< Latest era of an entry. */
  std::size_t mInstances = 1;
};

} // namespace skylarkchute
