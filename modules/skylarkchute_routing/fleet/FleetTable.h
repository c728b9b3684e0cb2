#pragma once

#include "EndpointHealth.h"
#include "FleetEndpoint.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** Load that an endpoint told in an answer. */
struct ReportedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
};

/** One endpoint as this instance knows it. */
struct FleetRow
{
  FleetEndpoint mEntry;
  EndpointHealth mHealth;
  std::uint32_t mOutstanding = 0; /**< Attempts of this instance under way. */
  std::uint32_t mOutstandingAtReport = 0;
  ReportedLoad mReport;
  TimePoint mReportedAt{};
  std::optional<TimePoint> mMissingSince; /**< Set while its entry lapsed in a store outage. */

  /** Returns the requests that the endpoint holds, from the last report and own attempts since. */
  double EstimatedLoad(TimePoint aNow) const;

  /** Returns whether the last report still says something. */
  bool HasFreshReport(TimePoint aNow) const;

  /** Returns whether new requests may be sent. */
  bool IsOpen() const { return !mEntry.mDraining; }
};

/** Every endpoint of the platform's list.

    An entry that is removed ends at once. When the store was lately away its entries lapse without
    their endpoints having left: such an entry stays until it had time to come back. */
class FleetTable
{
public:
  /** How long an entry may take to come back after the store's return. */
  static constexpr std::chrono::milliseconds kReturnPeriod{ 2300 };

  /** Adds or replaces an endpoint. A new incarnation under an id starts without history. */
  void Upsert(const FleetEndpoint& aEntry);

  /** Takes an endpoint out.
      @param aMayReturn  whether the store's outage may have removed the entry */
  void Remove(const EndpointId& aId, bool aMayReturn, TimePoint aNow);

  /** Drops the entries that did not come back in time.
      @returns the ids dropped */
  std::vector<EndpointId> DropLapsed(TimePoint aNow);

  /** Returns a row, or null. */
  FleetRow* Find(const EndpointId& aId);

  /** Returns the rows of a service that may get new requests. */
  std::vector<FleetRow*> OpenRows(const ServiceName& aService);

  /** Returns how full the open endpoints of a service are: requests held for each slot. A waiting
      request counts several times, since engines run out of memory and reading time before slots.
   */
  double Pressure(const ServiceName& aService, TimePoint aNow) const;

  /** Sets the number of instances, which stand for the own load where no report is known. */
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }

  /** Returns every row by id. */
  const std::map<EndpointId, FleetRow>& All() const { return mRows; }
  std::map<EndpointId, FleetRow>& All() { return mRows; }

private:
  std::map<EndpointId, FleetRow> mRows;
  std::size_t mInstances = 1;
};

} // namespace skylarkchute
