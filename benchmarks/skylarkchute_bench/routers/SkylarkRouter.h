#pragma once

#include "BenchRouter.h"

namespace skylarkchute {

/** Adapts Router to the interface of the benchmark. */
class SkylarkRouter final : public BenchRouter
{
public:
  explicit SkylarkRouter(RouterOptions aOptions) : mRouter(std::move(aOptions)) {}

  RouterSteps ApplyBundle(std::shared_ptr<const Bundle> aBundle, TimePoint aNow) override;
  void ApplyEndpoints(const std::vector<EndpointRecord>& aEndpoints, TimePoint aNow) override;
  void ApplyLoad(const LoadReport& aReport, TimePoint aNow) override;
  void ApplyRolls(const std::vector<RollShare>& aShares, TimePoint aNow) override;
  void ApplyAlert(const RoutingAlert& aAlert, TimePoint aNow) override;
  void ApplyFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow) override;
  void ApplyLimitShares(const std::vector<LimitShare>& aShares, TimePoint aNow) override;
  RouterSteps Start(const RequestFacts& aFacts, TimePoint aNow) override;
  void ReportFirstToken(const RequestId& aRequest,
                        const AttemptId& aAttempt,
                        TimePoint aNow) override;
  RouterSteps ReportOutcome(const RequestId& aRequest,
                            const AttemptId& aAttempt,
                            const AttemptOutcome& aOutcome,
                            TimePoint aNow) override;
  void ReportRating(const RatedAnswer& aAnswer, TimePoint aNow) override;
  RouterSteps ReportHeldRating(const RequestId& aRequest,
                               const AttemptId& aAttempt,
                               double aRating,
                               TimePoint aNow) override;
  RouterSteps Tick(TimePoint aNow) override;
  RouterReports TakeReports(TimePoint aNow) override;

private:
  Router mRouter;
};

} // namespace skylarkchute
