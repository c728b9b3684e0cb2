#include "RequestTimes.h"

namespace skylarkchute {

LatencyKind LatencyKindOf(const RequestPlan& aPlan, const std::optional<std::size_t>& aSize)
{
  if (aSize) {
    return { aPlan.mService.Value() + '/' + aPlan.mRoute->mSizes[*aSize].Value(),
             aPlan.mPromptTokens };
  }
  return { aPlan.mRoute->mName, aPlan.mPromptTokens };
}

} // namespace skylarkchute
