#pragma once

#include "QuotaMessages.h"
#include "ShareAllocator.h"

namespace skylarkchute {

/** What the split wants done after an event. */
struct QuotaOutput
{
  std::vector<PeerCall> mCalls;
  /** Every team's limits in force at this instance; empty when nothing changed. */
  std::vector<LimitShare> mShares;
  std::vector<LogEvent> mEvents;
};

/** Gives this instance its shares of the fleet-wide limits, by measured demand, and collects
    reports for the teams of which it is the collector.

    A new instance starts with its floor. An instance whose collector is silent falls back to the
    equal share after two lifetimes of a grant, when the collector has reserved it. */
class QuotaShares
{
public:
  QuotaShares(InstanceId aSelf, QuotaOptions aOptions);

  /** Takes in the live instances, this one among them. */
  void SetMembers(std::vector<InstanceId> aMembers) { mMembers = std::move(aMembers); }

  /** Takes in the fleet-wide limits of the bundle. */
  void SetLimits(std::vector<LimitShare> aLimits);

  /** Reports demand once a period and ends grants that are too old. */
  QuotaOutput Tick(const std::vector<TeamDemand>& aDemand, TimePoint aNow);

  /** Takes in the message `quota.demand`.
      @returns the result, JSON object text */
  std::string OnReport(const std::string& aParams, TimePoint aNow);

  /** Takes in the outcome of a call. */
  QuotaOutput OnReply(const PeerReply& aReply, TimePoint aNow);

private:
  struct Grant
  {
    std::optional<TimePoint> mSince; /**< When the report was sent that it answers. */
    QuotaFractions mFractions;
    bool mSilent = false;
  };

  struct Allocators
  {
    ShareAllocator mRequests;
    ShareAllocator mTokens;
  };

  InstanceId CollectorOf(const TeamName& aTeam) const;
  QuotaFractions InForce(const TeamName& aTeam, TimePoint aNow) const;
  void TakeGrants(const QuotaGrants& aGrants, TimePoint aSince);
  QuotaGrants Allocate(const QuotaReport& aReport, TimePoint aNow);
  std::vector<LimitShare> ChangedShares(TimePoint aNow);
  void NoteSilence(TimePoint aNow, QuotaOutput& aOutput);
  void SendReports(const std::vector<TeamDemand>& aDemand, TimePoint aNow, QuotaOutput& aOutput);

  InstanceId mSelf;
  QuotaOptions mOptions;
  std::vector<InstanceId> mMembers;
  std::vector<LimitShare> mLimits;
  std::map<TeamName, Grant> mGrants;
  std::map<TeamName, Allocators> mAllocators; /**< As collector. */
  std::map<std::uint64_t, TimePoint> mSent;   /**< Reports under way. */
  std::uint64_t mNextCall = 1;
  std::optional<TimePoint> mStartedAt;
  TimePoint mNextReport;
  std::vector<LimitShare> mLastShares;
};

} // namespace skylarkchute
