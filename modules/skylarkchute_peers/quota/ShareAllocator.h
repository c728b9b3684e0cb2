#pragma once

#include "../PeerTypes.h"

#include <map>

namespace skylarkchute {

/** Options of the allocation of fleet-wide limits. */
struct QuotaOptions
{
  /** Time between two reports of an instance. */
  std::chrono::milliseconds mPeriod{ 2000 };
  /** The same, until an instance has run for mGrantLifetime. */
  std::chrono::milliseconds mStartupPeriod{ 400 };
  /** A member that sends no report for this time is silent; one that receives no grant for this
      time reports itself as stale. */
  std::chrono::milliseconds mSilenceTimeout{ 5000 };
  /** A grant is in force for this time, then capped at the equal share. */
  std::chrono::milliseconds mGrantLifetime{ 10000 };
  /** Fraction of the limit that is split equally regardless of demand, 0 to 1. */
  double mFloorFraction = 0.2;
};

/** Allocates one limit, as fractions, to the members that report to this collector.

    The sum of the fractions that may be in force on all instances stays within the limit: a
    fraction grows only by what the reports of other members show to be released, and the equal
    share of a silent member stays reserved. */
class ShareAllocator
{
public:
  explicit ShareAllocator(QuotaOptions aOptions, TimePoint aNow)
    : mOptions(aOptions)
    , mStartedAt(aNow)
    , mLastReport(aNow)
  {
  }

  /** Records the report of one member and returns its new fraction.
      @param aDemand   per second
      @param aHeld     the fraction that the member has in force
      @param aStale    the member receives no grants and will fall back to the equal share
      @param aMembers  the live instances */
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
    double mOutstanding = 0; /**< Largest fraction that may be in force at the member. */
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
