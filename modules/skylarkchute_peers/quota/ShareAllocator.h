#pragma once

#include "../PeerTypes.h"

#include <map>

namespace skylarkchute {

/** Times and floors of the split of fleet-wide limits. */
struct QuotaOptions
{
  std::chrono::milliseconds mPeriod{ 2000 };      /**< Between reports of one instance. */
  std::chrono::milliseconds mStartPeriod{ 400 };  /**< The same, just after it started. */
  std::chrono::milliseconds mSilentAfter{ 5000 }; /**< A member without a report for this time. */
  std::chrono::milliseconds mGrantLife{ 10000 };  /**< A grant counts for this time. */
  /** Part of the limit that is split equally whatever the demand, 0 to 1. */
  double mFloor = 0.2;
};

/** Splits one limit among the members that report to this collector, as fractions of the limit.

    The sum of what may be in force anywhere stays within the limit: a fraction is raised only into
    what others have been seen to give up, and a silent member keeps its equal share reserved. */
class ShareAllocator
{
public:
  explicit ShareAllocator(QuotaOptions aOptions, TimePoint aNow)
    : mOptions(aOptions)
    , mStartedAt(aNow)
    , mLastReport(aNow)
  {
  }

  /** Takes in the report of one member and returns its new fraction.
      @param aDemand  per second
      @param aHeld    the fraction that the member has in force
      @param aStale   the member gets no grants, and will fall back to the equal share */
  double Report(const InstanceId& aFrom,
                double aDemand,
                double aHeld,
                bool aStale,
                const std::vector<InstanceId>& aMembers,
                TimePoint aNow);

private:
  struct MemberState
  {
    double mDemand = 0;
    double mOutstanding = 0; /**< The largest fraction that may be in force there. */
    TimePoint mReportedAt;
    bool mStale = false;
  };

  bool IsSilent(const MemberState& aState, TimePoint aNow) const;
  double ReservedFor(const InstanceId& aMember, double aEqual, TimePoint aNow) const;
  double Target(const InstanceId& aFrom, double aAvailable, double aEqual, TimePoint aNow) const;

  QuotaOptions mOptions;
  TimePoint mStartedAt;
  TimePoint mLastReport;
  std::map<InstanceId, MemberState> mMembers;
};

} // namespace skylarkchute
