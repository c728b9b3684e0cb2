#pragma once

#include "BenchRouter.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <set>

namespace skylarkchute {

/** A router without retries, cascades, limits, breakers or learning.

    By default it picks the first version that the team may use and a random endpoint that hosts it.
    It satisfies the promises that PromiseChecker checks and optimizes nothing. It is the baseline
    of the figures and the reference of the differential tests. */
class SimpleRouter final : public BenchRouter
{
public:
  enum class VersionRule
  {
    First,  /**< The first allowed version in the order of the bundle. */
    Random, /**< An allowed version, drawn uniformly. */
  };

  enum class EndpointOrder
  {
    Random,
    LeastLoaded, /**< Fewest running and queued jobs in the last load report of any age. */
  };

  struct Rules
  {
    VersionRule mVersion = VersionRule::First;
    EndpointOrder mEndpoint = EndpointOrder::Random;
  };

  SimpleRouter(Rules aRules, std::uint64_t aSeed);

  RouterSteps ApplyBundle(std::shared_ptr<const Bundle> aBundle, TimePoint aNow) override;
  void ApplyEndpoints(const std::vector<EndpointRecord>& aEndpoints, TimePoint aNow) override;
  void ApplyLoad(const LoadReport& aReport, TimePoint aNow) override;
  void ApplyRolls(const std::vector<RollShare>& aShares, TimePoint aNow) override;
  void ApplyAlert(const RoutingAlert& aAlert, TimePoint aNow) override;
  void ApplyFleetEvidence(const std::vector<VersionEvidence>&, TimePoint) override {}
  void ApplyLimitShares(const std::vector<LimitShare>&, TimePoint) override {}
  RouterSteps Start(const RequestFacts& aFacts, TimePoint aNow) override;
  void ReportFirstToken(const RequestId&, const AttemptId&, TimePoint) override {}
  RouterSteps ReportOutcome(const RequestId& aRequest,
                            const AttemptId& aAttempt,
                            const AttemptOutcome& aOutcome,
                            TimePoint aNow) override;
  void ReportRating(const RatedAnswer&, TimePoint) override {}
  RouterSteps ReportHeldRating(const RequestId&, const AttemptId&, double, TimePoint) override;
  RouterSteps Tick(TimePoint aNow) override;
  RouterReports TakeReports(TimePoint) override { return {}; }

private:
  const Team* FindTeam(const std::string& aApiKey);
  std::optional<VersionId> ChooseVersion(const RequestFacts& aFacts, const Team& aTeam);
  bool IsUsable(const Team& aTeam, const VersionId& aVersion) const;
  double ShareOf(const VersionId& aVersion) const;
  const EndpointRecord* ChooseEndpoint(const std::optional<ServiceName>& aService,
                                       const std::string& aLabel);
  std::size_t Draw(std::size_t aCount);
  double DrawShare();

  Rules mRules;
  boost::random::mt19937_64 mRandom;
  std::shared_ptr<const Bundle> mBundle;
  std::vector<EndpointRecord> mEndpoints;
  std::map<EndpointId, LoadReport> mLoads;
  std::map<RollName, RollShare> mShares;
  std::set<VersionId> mStopped;
  std::map<std::string, TeamName> mTeamsByKey;
};

} // namespace skylarkchute
