#include "EndpointNoticeRecord.h"

#include "../events/RelayEvents.h"

namespace skylarkchute {

void RecordEndpointNotice(RelayContext& aContext,
                          const AttemptPlan& aAttempt,
                          const EndpointHead& aHead,
                          const std::string& aId)
{
  auto notice = aHead.mNotice;
  if (aHead.mIsMisdirected) {
    return;
  }
  if (aHead.mRequestId != aId && !notice.mLimit) {
    notice.mKeepsLimit = true;
  }
  if (aHead.mRequestId != aId && !notice.mRejectionLimit) {
    notice.mKeepsRejectionLimit = true;
  }
  const auto& endpoint = aAttempt.mEndpoint.Value();
  const auto change = aContext.mRouter.OnNotice(aAttempt, notice, std::chrono::steady_clock::now());
  if (change.mBeganToLeave) {
    aContext.mLog.Write({ &kEndpointLeaving, { { "endpoint", endpoint } } });
    aContext.mPool.CloseIdleConnections(aAttempt.mEndpoint);
  }
  if (change.mPause) {
    aContext.mLog.Write({ &kEndpointPaused,
                          { { "endpoint", endpoint },
                            { "seconds", WriteNumber(notice.mPauseSeconds.value_or(0)) } } });
  }
  if (change.mLimit) {
    aContext.mLog.Write({ &kEndpointLimited,
                          { { "endpoint", endpoint },
                            { "limit", notice.mLimit ? WriteNumber(*notice.mLimit) : "none" } } });
  }
  if (change.mRejectionLimit) {
    const auto& limit = notice.mRejectionLimit;
    aContext.mLog.Write(
      { &kEndpointBrittle,
        { { "endpoint", endpoint }, { "limit", limit ? WriteNumber(*limit) : "none" } } });
  }
}

} // namespace skylarkchute
