#pragma once

#include "EndpointBreaker.h"
#include "EndpointRecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The state that one instance keeps for an endpoint. */
struct EndpointRow
{
  EndpointRecord mRecord;
  std::vector<std::string> mLabels;      /**< Model labels hosted, as reported by the endpoint. */
  bool mReportedLeaving = false;         /**< As reported by the endpoint. */
  std::uint32_t mSlots = 0;              /**< Zero if never reported. */
  std::uint32_t mInFlight = 0;           /**< Attempts of this instance. */
  double mWindow = 0;                    /**< Maximum of mInFlight; zero until the first report. */
  std::uint32_t mOtherInstancesLoad = 0; /**< Requests of other instances, at the last report. */
  TimePoint mReportedAt{};
  TimePoint mFullUntil{};     /**< The endpoint refused an attempt for lack of capacity. */
  TimePoint mLastCrashAt{};   /**< Last crash observed. */
  TimePoint mUnreachableAt{}; /**< Last crash or failed connection observed. */
  double mSlowness = 1;       /**< Moving average of actual over expected latency. */
  TimePoint mSlownessUpdatedAt{};
  EndpointBreaker mBreaker;

  /** Returns whether the endpoint is shutting down and accepts no new requests. */
  bool IsLeaving() const { return mRecord.mLeaving || mReportedLeaving; }

  /** Returns whether the endpoint hosts a model label. */
  bool Hosts(const std::string& aLabel) const;

  /** Returns the load in requests: the attempts of this instance plus those of other instances,
      weighted by the freshness of the report. */
  double Load(TimePoint aNow) const;

  /** Returns the maximum number of concurrent attempts of this instance at the endpoint. */
  double Window(std::uint32_t aDefaultSlots) const;

  /** Returns whether an attempt may be sent: the endpoint is not leaving, its breaker allows it and
      it has capacity. */
  bool CanAcceptAttempt(TimePoint aNow, std::uint32_t aDefaultSlots) const;

  /** Adjusts the window to a load report: reduces it to this instance's share of the slots if the
      endpoint is overloaded, and enlarges it while slots are free.
      @param aReported  requests running and queued at the endpoint, from all instances */
  void AdjustWindow(std::uint32_t aReported);

  /** Records the ratio of an answer's latency to the expected latency. */
  void RecordSlowness(double aRatio, TimePoint aNow);

  /** Returns the average ratio of actual to expected latency. It decays to 1, so that a slow
      endpoint is tried again. */
  double Slowness(TimePoint aNow) const;

  /** Returns the number of slots; @p aDefault if the endpoint never reported any. */
  double Slots(std::uint32_t aDefault) const { return mSlots > 0 ? mSlots : aDefault; }
};

/** The endpoints, by id. */
class EndpointTable
{
public:
  using Rows = std::map<EndpointId, EndpointRow>;

  /** Replaces the endpoint records. Endpoints that remain keep their other state. */
  void Replace(const std::vector<EndpointRecord>& aRecords);

  /** Applies a load report. Reports of unknown endpoints are ignored. */
  void ApplyLoad(const LoadReport& aReport, TimePoint aNow);

  /** Returns the row of an endpoint; null if unknown. */
  EndpointRow* Find(const EndpointId& aId);
  const EndpointRow* Find(const EndpointId& aId) const;

  /** Returns all rows, ordered by id. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

  /** Returns a number that increases when the endpoints, their hosted labels or their leaving state
      may have changed. */
  std::uint64_t Generation() const { return mGeneration; }

private:
  Rows mRows;
  std::uint64_t mGeneration = 1;
};

} // namespace skylarkchute
