#pragma once

#include "FleetTable.h"

#include <vector>

namespace skylarkchute {

/** A load report as instances pass it on. */
struct RelayedLoad
{
  std::uint32_t mKey = 0; /**< Of the endpoint. @see LoadDigest::KeyOf */
  ReportedLoad mLoad;
  std::chrono::milliseconds mAge{ 0 }; /**< Since the endpoint stated it. */
};

/** Selects the load reports that an instance passes on, and takes in those of others. Covers the
    services whose load is known fleet-wide only. Performs no I/O.

    A report is passed on kMaxSends times by each instance that it reaches, the latest first, so
   that it spreads like a rumour and messages stay within a bound. Reports carry their age instead
   of a time, since clocks of instances differ. */
class LoadDigest
{
public:
  /** Number of messages in which an instance passes on the same report. */
  static constexpr std::uint8_t kMaxSends = 3;

  /** Reports older than this are neither passed on nor taken in. */
  static constexpr std::chrono::milliseconds kMaxAge{ 2500 };

  /** A report that is later than the known one by less is not passed on again. */
  static constexpr std::chrono::milliseconds kMinNews{ 200 };

  /** Returns the key under which all instances know an incarnation of an endpoint. */
  static std::uint32_t KeyOf(const FleetEndpoint& aEntry);

  /** Returns the latest reports that were not passed on kMaxSends times, and counts them as passed
      on.
      @param aMaxReports  maximum number of reports to return */
  static std::vector<RelayedLoad> Take(FleetTable& aTable, std::size_t aMaxReports, TimePoint aNow);

  /** Records reports that are later than the known ones. Those of unknown endpoints, of earlier
      incarnations, and of services that do not use fleet-wide load are ignored.
      @returns the number of reports that were recorded */
  static std::size_t Apply(FleetTable& aTable,
                           const std::vector<RelayedLoad>& aReports,
                           TimePoint aNow);
};

} // namespace skylarkchute
