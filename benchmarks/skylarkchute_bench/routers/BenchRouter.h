#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <memory>
#include <optional>

namespace skylarkchute {

/** The rating of an answer that was sent to its caller without waiting for the rating. */
struct RatedAnswer
{
  VersionId mVersion;
  ClassName mClass;
  TeamName mTeam;
  double mRating = 0; /**< 0 to 1. */
};

/** The router interface that the benchmark uses. @see Router for the meaning of the functions */
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

/** Creates a router by name: `naive`, `random`, `least-loaded` or `skylarkchute`.
    @returns a null pointer if the name is unknown */
std::unique_ptr<BenchRouter> MakeBenchRouter(const std::string& aName,
                                             const ZoneName& aZone,
                                             const InstanceId& aInstance,
                                             std::uint64_t aSeed);

} // namespace skylarkchute
