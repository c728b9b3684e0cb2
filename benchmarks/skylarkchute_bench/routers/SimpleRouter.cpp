#include "SimpleRouter.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kDefaultTimeout{ 60000 };

RouterSteps Refuse(const RequestFacts& aFacts, int aStatus, const char* aReason)
{
  RefuseStep step;
  step.mRequest = aFacts.mId;
  step.mHttpStatus = aStatus;
  step.mReason = aReason;
  return { step };
}

bool Contains(const std::vector<std::string>& aTexts, const std::string& aText)
{
  return std::find(aTexts.begin(), aTexts.end(), aText) != aTexts.end();
}

} // namespace

SimpleRouter::SimpleRouter(Rules aRules, std::uint64_t aSeed) : mRules(aRules), mRandom(aSeed) {}

RouterSteps SimpleRouter::ApplyBundle(std::shared_ptr<const Bundle> aBundle, TimePoint)
{
  mBundle = std::move(aBundle);
  mTeamsByKey.clear();
  return {};
}

void SimpleRouter::ApplyEndpoints(const std::vector<EndpointRecord>& aEndpoints, TimePoint)
{
  mEndpoints = aEndpoints;
}

void SimpleRouter::ApplyLoad(const LoadReport& aReport, TimePoint)
{
  mLoads[aReport.mEndpoint] = aReport;
}

void SimpleRouter::ApplyRolls(const std::vector<RollShare>& aShares, TimePoint)
{
  for (const auto& it : aShares) {
    mShares[it.mRoll] = it;
  }
}

void SimpleRouter::ApplyAlert(const RoutingAlert& aAlert, TimePoint)
{
  if (aAlert.mVersion) {
    mStopped.insert(*aAlert.mVersion);
  }
}

RouterSteps SimpleRouter::Start(const RequestFacts& aFacts, TimePoint aNow)
{
  const auto* team = FindTeam(aFacts.mApiKey);
  if (team == nullptr) {
    return Refuse(aFacts, 401, "unknown-key");
  }
  std::string label;
  std::optional<VersionId> version;
  if (aFacts.mService) {
    const auto& allowed = team->mServices;
    if (std::find(allowed.begin(), allowed.end(), *aFacts.mService) == allowed.end()) {
      return Refuse(aFacts, 403, "service-not-allowed");
    }
  } else {
    version = ChooseVersion(aFacts, *team);
    if (!version) {
      return Refuse(aFacts, 403, "no-version");
    }
    label = mBundle->FindVersion(*version)->mLabel;
  }
  const auto* endpoint = ChooseEndpoint(aFacts.mService, label);
  if (endpoint == nullptr) {
    return Refuse(aFacts, 503, "no-endpoint");
  }
  DispatchStep step;
  step.mRequest = aFacts.mId;
  step.mAttempt = AttemptId(aFacts.mId.Value() + ".1");
  step.mEndpoint = endpoint->mId;
  step.mAddress = endpoint->mAddress;
  step.mPort = endpoint->mPort;
  step.mVersion = version;
  step.mLabel = label;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(aFacts.mDeadline - aNow);
  step.mTimeout = std::min(kDefaultTimeout, left);
  return { step };
}

RouterSteps SimpleRouter::ReportOutcome(const RequestId& aRequest,
                                        const AttemptId& aAttempt,
                                        const AttemptOutcome& aOutcome,
                                        TimePoint)
{
  if (aOutcome.mEnd == AttemptEnd::Complete) {
    return { FinishStep{ aRequest, aAttempt, Verdict::Ran } };
  }
  RefuseStep step;
  step.mRequest = aRequest;
  step.mVerdict = aOutcome.mVerdict;
  step.mHttpStatus = 502;
  step.mReason = "attempt-failed";
  return { step };
}

RouterSteps SimpleRouter::ReportHeldRating(const RequestId&, const AttemptId&, double, TimePoint)
{
  return {};
}

RouterSteps SimpleRouter::Tick(TimePoint)
{
  return {};
}

const Team* SimpleRouter::FindTeam(const std::string& aApiKey)
{
  const auto known = mTeamsByKey.find(aApiKey);
  if (known != mTeamsByKey.end()) {
    return mBundle->FindTeam(known->second);
  }
  for (const auto& team : mBundle->mTeams) {
    for (const auto& it : team.mKeyHashes) {
      if (EqualInConstantTime(Sha256Hex(it.mSalt + aApiKey), it.mSha256Hex)) {
        mTeamsByKey.emplace(aApiKey, team.mName);
        return &team;
      }
    }
  }
  return nullptr;
}

std::optional<VersionId> SimpleRouter::ChooseVersion(const RequestFacts& aFacts, const Team& aTeam)
{
  if (aFacts.mPinnedVersion) {
    const bool usable = IsUsable(aTeam, *aFacts.mPinnedVersion);
    return usable ? aFacts.mPinnedVersion : std::nullopt;
  }
  std::vector<VersionId> usable;
  for (const auto& it : mBundle->mVersions) {
    if (IsUsable(aTeam, it.mId) && DrawShare() < ShareOf(it.mId)) {
      usable.push_back(it.mId);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[mRules.mVersion == VersionRule::First ? 0 : Draw(usable.size())];
}

bool SimpleRouter::IsUsable(const Team& aTeam, const VersionId& aVersion) const
{
  const auto* version = mBundle->FindVersion(aVersion);
  if (version == nullptr || mStopped.count(aVersion) > 0) {
    return false;
  }
  for (const auto& it : mBundle->mRolls) {
    const auto share = mShares.find(it.mName);
    if (it.mTo == aVersion && share != mShares.end() && share->second.mWithdrawn) {
      return false;
    }
  }
  return mBundle->Allows(aTeam, *version);
}

double SimpleRouter::ShareOf(const VersionId& aVersion) const
{
  for (const auto& it : mBundle->mRolls) {
    const auto share = mShares.find(it.mName);
    if (it.mTo == aVersion) {
      return share == mShares.end() ? 0 : share->second.mPercent / 100;
    }
  }
  return 1;
}

const EndpointRecord* SimpleRouter::ChooseEndpoint(const std::optional<ServiceName>& aService,
                                                   const std::string& aLabel)
{
  std::vector<const EndpointRecord*> usable;
  for (const auto& it : mEndpoints) {
    const auto load = mLoads.find(it.mId);
    const bool leaving = it.mLeaving || (load != mLoads.end() && load->second.mLeaving);
    const bool fits = aService ? it.mKind == EndpointKind::Service && it.mService == *aService
                               : it.mKind == EndpointKind::Engine && load != mLoads.end() &&
                                   Contains(load->second.mHostedLabels, aLabel);
    if (fits && !leaving) {
      usable.push_back(&it);
    }
  }
  if (usable.empty()) {
    return nullptr;
  }
  if (mRules.mEndpoint == EndpointOrder::Random) {
    return usable[Draw(usable.size())];
  }
  const auto loadOf = [&](const EndpointRecord* aEndpoint) {
    const auto it = mLoads.find(aEndpoint->mId);
    return it == mLoads.end() ? 0U : it->second.mRunning + it->second.mQueued;
  };
  return *std::min_element(
    usable.begin(), usable.end(), [&](const auto* aLeft, const auto* aRight) {
      return loadOf(aLeft) < loadOf(aRight);
    });
}

std::size_t SimpleRouter::Draw(std::size_t aCount)
{
  const auto n = static_cast<std::size_t>(DrawShare() * static_cast<double>(aCount));
  return std::min(n, aCount - 1);
}

double SimpleRouter::DrawShare()
{
  return boost::random::uniform_01<double>()(mRandom);
}

} // namespace skylarkchute
