#pragma once

#include "Breaker.h"
#include "EndpointRecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** What one instance knows of one endpoint. */
struct EndpointRow
{
  EndpointRecord mRecord;
  std::vector<std::string> mLabels; /**< Hosted, by the endpoint's own word. */
  bool mSaidLeaving = false;        /**< By the endpoint's own word. */
  std::uint32_t mSlots = 0;         /**< Zero when it never reported. */
  std::uint32_t mInFlight = 0;      /**< Own attempts. */
  double mWindow = 0;               /**< Most own attempts; zero until the first report. */
  std::uint32_t mOthers = 0;        /**< Load by other instances, at the last report. */
  TimePoint mReportedAt{};
  TimePoint mFullUntil{};     /**< Said that it has no room. */
  TimePoint mBrokenAt{};      /**< Last crash seen. */
  TimePoint mUnreachableAt{}; /**< Last crash or failed connection seen. */
  double mSlowness = 1;       /**< Moving average of latency over the expected latency. */
  TimePoint mSlownessAt{};
  Breaker mBreaker;

  /** Returns whether the endpoint takes no new work. */
  bool IsLeaving() const { return mRecord.mLeaving || mSaidLeaving; }

  /** Returns whether the endpoint hosts a model label. */
  bool Hosts(const std::string& aLabel) const;

  /** Returns the load: own attempts, and those of others as far as the report is fresh. */
  double Load(TimePoint aNow) const;

  /** Returns how many own attempts the endpoint may have at once. */
  double Window(std::uint32_t aDefaultSlots) const;

  /** Returns whether the endpoint can be given an attempt: not leaving, not tripped, with room. */
  bool CanTake(TimePoint aNow, std::uint32_t aDefaultSlots) const;

  /** Moves the window by a report: down to this instance's part of the slots when the endpoint is
      over them, up while it has slots free. */
  void AdjustWindow(std::uint32_t aReported);

  /** Takes in how long an answer took over what was expected. */
  void RecordSlowness(double aRatio, TimePoint aNow);

  /** Returns how slow the endpoint is, 1 for as expected. Fades, so that it is tried again. */
  double Slowness(TimePoint aNow) const;

  /** Returns the slots, or @p aDefault when it never reported any. */
  double Slots(std::uint32_t aDefault) const { return mSlots > 0 ? mSlots : aDefault; }
};

/** The endpoints, by id. */
class EndpointTable
{
public:
  using Rows = std::map<EndpointId, EndpointRow>;

  /** Replaces the records, keeping what was learnt of endpoints that stay. */
  void Replace(const std::vector<EndpointRecord>& aRecords);

  /** Takes in a load report; reports of unknown endpoints are dropped. */
  void ApplyLoad(const LoadReport& aReport, TimePoint aNow);

  /** Returns the row of an endpoint, or null. */
  EndpointRow* Find(const EndpointId& aId);
  const EndpointRow* Find(const EndpointId& aId) const;

  /** Returns every row, ordered by id. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

  /** Returns a number that changes when membership, hosting or leaving changes. */
  std::uint64_t Generation() const { return mGeneration; }

private:
  Rows mRows;
  std::uint64_t mGeneration = 1;
};

} // namespace skylarkchute
