#include "EvidenceTotals.h"

namespace skylarkchute {

void EvidenceTotals::Add(const VersionEvidence& aEvidence)
{
  mRequests += aEvidence.mRequests;
  mErrors += aEvidence.mErrors;
  mTimeouts += aEvidence.mTimeouts;
  mRated += aEvidence.mRated;
  mRatedGood += aEvidence.mRatedGood;
  mLatencySum += aEvidence.mLatencySum;
}

void EvidenceTotals::Add(const EvidenceTotals& aOther)
{
  mRequests += aOther.mRequests;
  mErrors += aOther.mErrors;
  mTimeouts += aOther.mTimeouts;
  mRated += aOther.mRated;
  mRatedGood += aOther.mRatedGood;
  mLatencySum += aOther.mLatencySum;
}

} // namespace skylarkchute
