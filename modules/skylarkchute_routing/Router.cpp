#include "Router.h"

#include "systems/Authenticator.h"
#include "systems/RequestFlow.h"

#include <utility>

namespace skylarkchute {

struct Router::State
{
  explicit State(RouterOptions aOptions)
    : mTables(std::move(aOptions))
    , mHealth(mTables)
    , mCascades(mTables)
    , mEvidence(mTables, mHealth)
    , mLimits(mTables)
    , mPools(mTables)
    , mFlow(mTables, mEvidence, mHealth, mCascades, mLimits, mPools)
  {
  }

  RouterTables mTables;
  HealthSystem mHealth;
  CascadeSystem mCascades;
  EvidenceSystem mEvidence;
  LimitSystem mLimits;
  PoolSystem mPools;
  RequestFlow mFlow;
};

Router::Router(Options aOptions) : mState(std::make_unique<State>(std::move(aOptions))) {}

Router::~Router() = default;

Router::Router(Router&&) noexcept = default;

Router& Router::operator=(Router&&) noexcept = default;

RouterSteps Router::ApplyBundle(std::shared_ptr<const Bundle> aBundle, TimePoint aNow)
{
  RouterSteps steps;
  auto& tables = mState->mTables;
  tables.mBundle = std::move(aBundle);
  tables.mVersions.Replace(tables.mBundle->mVersions);
  tables.mWaitingChanged = true;
  mState->mPools.InvalidateMembers();
  mState->mHealth.ApplyBundle();
  mState->mLimits.ApplyBundle(aNow);
  mState->mFlow.RecheckWaiting(aNow, steps);
  mState->mPools.DropUnused();
  return steps;
}

void Router::ApplyEndpoints(const std::vector<EndpointRecord>& aEndpoints, TimePoint /*aNow*/)
{
  mState->mTables.mEndpoints.Replace(aEndpoints);
}

void Router::ApplyLoad(const LoadReport& aReport, TimePoint aNow)
{
  mState->mTables.mEndpoints.ApplyLoad(aReport, aNow);
}

void Router::ApplyRolls(const std::vector<RollShare>& aShares, TimePoint /*aNow*/)
{
  auto& tables = mState->mTables;
  for (const auto& share : aShares) {
    for (const auto& it : tables.mBundle->mRolls) {
      if (it.mName != share.mRoll) {
        continue;
      }
      if (share.mWithdrawn) {
        mState->mEvidence.Stop(it.mTo, "roll-withdrawn", false);
      }
      if (auto* version = tables.mVersions.Find(it.mTo)) {
        version->mRollPercent = share.mPercent;
      }
    }
  }
}

void Router::ApplyAlert(const RoutingAlert& aAlert, TimePoint aNow)
{
  mState->mFlow.OnAlert(aAlert, aNow);
  if (aAlert.mVersion) {
    mState->mEvidence.Stop(*aAlert.mVersion, aAlert.mReason, false);
  }
}

void Router::ApplyFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow)
{
  mState->mEvidence.OnFleetEvidence(aEvidence, aNow);
  mState->mCascades.OnFleetEvidence(aEvidence, aNow);
}

void Router::ApplyLimitShares(const std::vector<LimitShare>& aShares, TimePoint aNow)
{
  mState->mLimits.ApplyShares(aShares, aNow);
}

const Team* Router::Authenticate(const std::string& aApiKey) const
{
  return Authenticator::FindTeam(*mState->mTables.mBundle, aApiKey);
}

bool Router::IsNonIdempotent(const RequestFacts& aFacts) const
{
  return Admission(mState->mTables).IsNonIdempotent(aFacts);
}

RouterSteps Router::Start(const RequestFacts& aFacts, TimePoint aNow)
{
  RouterSteps steps;
  mState->mFlow.Start(aFacts, aNow, steps);
  return steps;
}

void Router::WithdrawAttempt(const RequestId& aRequest, const AttemptId& aAttempt, TimePoint aNow)
{
  mState->mFlow.Withdraw(aRequest, aAttempt, aNow);
}

RouterSteps Router::Repin(const RequestId& aRequest, const VersionId& aVersion, TimePoint aNow)
{
  RouterSteps steps;
  mState->mFlow.Repin(aRequest, aVersion, aNow, steps);
  return steps;
}

void Router::ReportFirstToken(const RequestId& aRequest,
                              const AttemptId& aAttempt,
                              TimePoint /*aNow*/)
{
  auto* row = mState->mTables.mRequests.Find(aRequest);
  auto* attempt = row == nullptr ? nullptr : row->FindAttempt(aAttempt);
  if (attempt != nullptr) {
    attempt->mFirstTokenSeen = true;
  }
}

RouterSteps Router::ReportOutcome(const RequestId& aRequest,
                                  const AttemptId& aAttempt,
                                  const AttemptOutcome& aOutcome,
                                  TimePoint aNow)
{
  RouterSteps steps;
  mState->mFlow.OnOutcome(aRequest, aAttempt, aOutcome, aNow, steps);
  return steps;
}

void Router::ReportRating(const VersionId& aVersion,
                          const ClassName& aClass,
                          const TeamName& aTeam,
                          double aRating,
                          TimePoint aNow)
{
  mState->mEvidence.OnRating(aVersion, aClass, aTeam, aRating, aNow);
  mState->mCascades.OnRating(aVersion, aClass, aTeam, aRating, aNow);
}

RouterSteps Router::ReportHeldRating(const RequestId& aRequest,
                                     const AttemptId& aAttempt,
                                     double aRating,
                                     TimePoint aNow)
{
  RouterSteps steps;
  mState->mFlow.OnHeldRating(aRequest, aAttempt, aRating, aNow, steps);
  return steps;
}

RouterSteps Router::OnCallerDisconnected(const RequestId& aRequest, TimePoint aNow)
{
  RouterSteps steps;
  mState->mFlow.OnCallerDisconnected(aRequest, aNow, steps);
  return steps;
}

RouterSteps Router::Tick(TimePoint aNow)
{
  RouterSteps steps;
  mState->mLimits.Tick(aNow);
  mState->mFlow.Tick(aNow, steps);
  return steps;
}

RouterReports Router::TakeReports(TimePoint /*aNow*/)
{
  auto reports = std::exchange(mState->mTables.mReports, {});
  reports.mEvidence = mState->mEvidence.TakeCounts();
  return reports;
}

std::vector<RollVerdict> Router::RollVerdicts() const
{
  return mState->mHealth.Verdicts();
}

std::vector<TeamDemand> Router::Demand(TimePoint aNow) const
{
  return mState->mLimits.Demand(aNow);
}

bool Router::MayDispatch(const RequestId& aRequest, const AttemptId& aAttempt) const
{
  return mState->mFlow.MayDispatch(aRequest, aAttempt);
}

const RouterCounters& Router::Counters() const
{
  return mState->mTables.mCounters;
}

} // namespace skylarkchute
