#include "MissedChanges.h"

namespace skylarkchute {

void MissedChanges::OnChange(StoreVersion aRevision)
{
  if (aRevision > mKnownUpTo) {
    mReceived.insert(aRevision);
    SkipReceived();
  }
}

void MissedChanges::OnKnownUpTo(StoreVersion aState)
{
  if (aState > mKnownUpTo) {
    mKnownUpTo = aState;
    SkipReceived();
  }
}

/** Raises mKnownUpTo over the changes that follow it without a gap. */
void MissedChanges::SkipReceived()
{
  mReceived.erase(mReceived.begin(), mReceived.upper_bound(mKnownUpTo));
  while (!mReceived.empty() && *mReceived.begin() == mKnownUpTo + 1) {
    mReceived.erase(mReceived.begin());
    ++mKnownUpTo;
  }
}

std::optional<StoreVersion> MissedChanges::TakeMissed(TimePoint aNow)
{
  if (mStoreState <= mKnownUpTo) {
    mAwaitedSince.reset();
    return std::nullopt;
  }
  if (!mAwaitedSince || mAwaitedAfter != mKnownUpTo) {
    mAwaitedSince = aNow;
    mAwaitedAfter = mKnownUpTo;
  }
  if (aNow - *mAwaitedSince < kArrivalTime) {
    return std::nullopt;
  }
  mAwaitedSince = aNow;
  return mStoreState;
}

} // namespace skylarkchute
