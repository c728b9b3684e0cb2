#pragma once

#include "QuotaMessages.h"
#include "ShareAllocator.h"

namespace skylarkchute {

/** Calls, changed shares and log events that result from one event. */
struct QuotaOutput
{
  std::vector<PeerCall> mCalls;
  /** Every team's limits in force at this instance; empty when nothing changed. */
  std::vector<LimitShare> mShares;
  std::vector<LogEvent> mEvents;
};

/** Obtains this instance's shares of the fleet-wide limits according to measured demand, and
    allocates the shares of all instances for the teams of which it is the collector.

    A new instance starts with the floor. An instance whose collector does not answer falls back to
    the equal share after twice the grant lifetime; by then the collector has reserved it. */
class QuotaShares
{
public:
  QuotaShares(InstanceId aSelf, QuotaOptions aOptions);

  /** Sets the live instances, including this one. */
  void SetMembers(std::vector<InstanceId> aMembers) { mMembers = std::move(aMembers); }

  /** Sets the fleet-wide limits of the bundle. */
  void SetLimits(std::vector<LimitShare> aLimits);

  /** Reports demand once per period and expires old grants. */
  QuotaOutput Tick(const std::vector<TeamDemand>& aDemand, TimePoint aNow);

  /** Handles the message `quota.demand`.
      @returns the result, JSON object text; without grants when the message cannot be decoded */
  std::string OnReport(const std::string& aParams, TimePoint aNow);

  /** Handles the outcome of a call. */
  QuotaOutput OnReply(const PeerReply& aReply, TimePoint aNow);

private:
  struct Grant
  {
    std::optional<TimePoint> mReportSentAt; /**< Of the report that the grant answers. */
    QuotaFractions mFractions;
    bool mCollectorIsSilent = false;
  };

  struct Allocators
  {
    ShareAllocator mRequests;
    ShareAllocator mTokens;
  };

  InstanceId CollectorOf(const TeamName& aTeam) const;
  QuotaFractions EffectiveFractions(const TeamName& aTeam, TimePoint aNow) const;
  void ApplyGrants(const QuotaGrants& aGrants, TimePoint aReportSentAt);
  QuotaGrants Allocate(const QuotaReport& aReport, TimePoint aNow);
  std::vector<LimitShare> ChangedShares(TimePoint aNow);
  void UpdateSilence(TimePoint aNow, QuotaOutput& aOutput);
  void SendReports(const std::vector<TeamDemand>& aDemand, TimePoint aNow, QuotaOutput& aOutput);

  InstanceId mSelf;
  QuotaOptions mOptions;
  std::vector<InstanceId> mMembers;
  std::vector<LimitShare> mLimits;
  std::map<TeamName, Grant> mGrants;
  std::map<TeamName, Allocators> mAllocators;         /**< Of the teams collected here. */
  std::map<std::uint64_t, TimePoint> mPendingReports; /**< Send times by call id. */
  std::uint64_t mNextCall = 1;
  std::optional<TimePoint> mStartedAt;
  TimePoint mNextReport;
  std::vector<LimitShare> mLastShares;
};

} // namespace skylarkchute
