#include "SkylarkRouter.h"

namespace skylarkchute {

RouterSteps SkylarkRouter::ApplyBundle(std::shared_ptr<const Bundle> aBundle, TimePoint aNow)
{
  return mRouter.ApplyBundle(std::move(aBundle), aNow);
}

void SkylarkRouter::ApplyEndpoints(const std::vector<EndpointRecord>& aEndpoints, TimePoint aNow)
{
  mRouter.ApplyEndpoints(aEndpoints, aNow);
}

void SkylarkRouter::ApplyLoad(const LoadReport& aReport, TimePoint aNow)
{
  mRouter.ApplyLoad(aReport, aNow);
}

void SkylarkRouter::ApplyRolls(const std::vector<RollShare>& aShares, TimePoint aNow)
{
  mRouter.ApplyRolls(aShares, aNow);
}

void SkylarkRouter::ApplyAlert(const RoutingAlert& aAlert, TimePoint aNow)
{
  mRouter.ApplyAlert(aAlert, aNow);
}

void SkylarkRouter::ApplyFleetEvidence(const std::vector<VersionEvidence>& aEvidence,
                                       TimePoint aNow)
{
  mRouter.ApplyFleetEvidence(aEvidence, aNow);
}

void SkylarkRouter::ApplyLimitShares(const std::vector<LimitShare>& aShares, TimePoint aNow)
{
  mRouter.ApplyLimitShares(aShares, aNow);
}

RouterSteps SkylarkRouter::Start(const RequestFacts& aFacts, TimePoint aNow)
{
  return mRouter.Start(aFacts, aNow);
}

void SkylarkRouter::ReportFirstToken(const RequestId& aRequest,
                                     const AttemptId& aAttempt,
                                     TimePoint aNow)
{
  mRouter.ReportFirstToken(aRequest, aAttempt, aNow);
}

RouterSteps SkylarkRouter::ReportOutcome(const RequestId& aRequest,
                                         const AttemptId& aAttempt,
                                         const AttemptOutcome& aOutcome,
                                         TimePoint aNow)
{
  return mRouter.ReportOutcome(aRequest, aAttempt, aOutcome, aNow);
}

void SkylarkRouter::ReportRating(const RatedAnswer& aAnswer, TimePoint aNow)
{
  mRouter.ReportRating(aAnswer.mVersion, aAnswer.mClass, aAnswer.mTeam, aAnswer.mRating, aNow);
}

RouterSteps SkylarkRouter::ReportHeldRating(const RequestId& aRequest,
                                            const AttemptId& aAttempt,
                                            double aRating,
                                            TimePoint aNow)
{
  return mRouter.ReportHeldRating(aRequest, aAttempt, aRating, aNow);
}

RouterSteps SkylarkRouter::Tick(TimePoint aNow)
{
  return mRouter.Tick(aNow);
}

RouterReports SkylarkRouter::TakeReports(TimePoint aNow)
{
  return mRouter.TakeReports(aNow);
}

} // namespace skylarkchute
