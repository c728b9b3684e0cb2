#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <memory>
#include <optional>

namespace skylarkchute {

/** The rating of an answer that was not held back. */
struct RatedAnswer
{
  VersionId mVersion;
  ClassName mClass;
  TeamName mTeam;
  double mRating = 0; /**< 0 to 1. */
};

/** The calls that the bench makes of a router. @see Router for their meaning */
class BenchRouter
{
public:
  virtual ~BenchRouter() = default;

  virtual RouterSteps ApplyBundle(std::shared_ptr<const Bundle> aBundle, TimePoint aNow) = 0;
  virtual void ApplyEndpoints(const std::vector<EndpointRecord>& aEndpoints, TimePoint aNow) = 0;
  virtual void ApplyLoad(const LoadReport& aReport, TimePoint aNow) = 0;
  virtual void ApplyRolls(const std::vector<RollShare>& aShares, TimePoint aNow) = 0;
  virtual void ApplyAlert(const RoutingAlert& aAlert, TimePoint aNow) = 0;
  virtual void ApplyFleetEvidence(const std::vector<VersionEvidence>& aEvidence,
                                  TimePoint aNow) = 0;
  virtual void ApplyLimitShares(const std::vector<LimitShare>& aShares, TimePoint aNow) = 0;
  virtual RouterSteps Start(const RequestFacts& aFacts, TimePoint aNow) = 0;
  virtual void ReportFirstToken(const RequestId& aRequest,
                                const AttemptId& aAttempt,
                                TimePoint aNow) = 0;
  virtual RouterSteps ReportOutcome(const RequestId& aRequest,
                                    const AttemptId& aAttempt,
                                    const AttemptOutcome& aOutcome,
                                    TimePoint aNow) = 0;
  virtual void ReportRating(const RatedAnswer& aAnswer, TimePoint aNow) = 0;

  virtual RouterSteps ReportHeldRating(const RequestId& aRequest,
                                       const AttemptId& aAttempt,
                                       double aRating,
                                       TimePoint aNow) = 0;
  virtual RouterSteps Tick(TimePoint aNow) = 0;
  virtual RouterReports TakeReports(TimePoint aNow) = 0;
};

/** Makes the router of that name: `naive`, `random`, `least-loaded` or `skylarkchute`.
    @returns null when there is none */
std::unique_ptr<BenchRouter> MakeBenchRouter(const std::string& aName,
                                             const ZoneName& aZone,
                                             const InstanceId& aInstance,
                                             std::uint64_t aSeed);

} // namespace skylarkchute
