#include "EventSequence.h"

namespace skylarkchute {

EventSequence::Step EventSequence::Take(const StreamEvent& aEvent)
{
  if (mNeedsEventId && !aEvent.mId) {
    return Step::Gap;
  }
  mNeedsEventId = false;
  if (aEvent.mId && mLastEventId && *aEvent.mId <= *mLastEventId) {
    return Step::Skip;
  }
  if (aEvent.mId && mLastEventId && *aEvent.mId != *mLastEventId + 1) {
    return Step::Gap;
  }
  mLastEventId = aEvent.mId ? aEvent.mId : mLastEventId;
  return Step::Forward;
}

} // namespace skylarkchute
