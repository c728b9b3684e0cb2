#include "LimitSystem.h"

#include "Refusals.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

constexpr std::chrono::seconds kDemandWindow{ 1 };
/** Minimum capacity of the buckets, in requests and in answers of the size that takes most tokens.
   A share of much less than one request per second meets arrivals that vary by whole requests. */
constexpr double kMinBurstRequests = 4;
/** Length of the exponential window over answer sizes, in answers. */
constexpr double kAnswerWindow = 100;

double EstimatedTokens(const RequestFacts& aFacts)
{
  return static_cast<double>(aFacts.mPromptTokens) + aFacts.mMaxTokens;
}

double SecondsSince(TimePoint aThen, TimePoint aNow)
{
  return std::chrono::duration<double>(aNow - aThen).count();
}

} // namespace

void LimitSystem::ApplyBundle(TimePoint aNow)
{
  std::erase_if(mTables.mTeams.All(), [&](const auto& aItem) {
    return mTables.mBundle->FindTeam(aItem.first) == nullptr && aItem.second.mInFlight == 0;
  });
  for (const auto& it : mTables.mBundle->mTeams) {
    SetRates(it, mTables.mTeams.Get(it.mName), aNow);
  }
}

void LimitSystem::ApplyShares(const std::vector<LimitShare>& aShares, TimePoint aNow)
{
  for (const auto& it : aShares) {
    const auto* team = mTables.mBundle->FindTeam(it.mTeam);
    if (team == nullptr) {
      continue;
    }
    auto& row = mTables.mTeams.Get(it.mTeam);
    row.mHasShare = true;
    row.mShare = it;
    SetRates(*team, row, aNow);
  }
}

std::optional<RefuseStep> LimitSystem::TryAcquire(RequestRow& aRow, TimePoint aNow)
{
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  auto& row = mTables.mTeams.Get(aRow.mTeam);
  const double tokens = EstimatedTokens(aRow.mFacts);
  row.mCurrent.mRequests += 1;
  row.mCurrent.mTokens += tokens;
  if (team->mConcurrency > 0 && row.mInFlight >= ConcurrencyShare(*team, row)) {
    return NotRunRefusal(aRow.mFacts.mId,
                         429,
                         refusal::kTeamConcurrency,
                         "The team has too many concurrent requests.",
                         std::chrono::seconds(1));
  }
  const bool limitsRequests = team->mRequestsPerSecond > 0;
  // Requests without tokens, such as calls of plain services, pass when the tokens are used up.
  const bool limitsTokens = team->mTokensPerSecond > 0 && tokens > 0;
  if (limitsRequests && !row.mRequests.Has(1, aNow)) {
    return NotRunRefusal(aRow.mFacts.mId,
                         429,
                         refusal::kTeamLimit,
                         "The team exceeded its limit of requests per second.",
                         row.mRequests.Wait(1));
  }
  if (limitsTokens && !row.mTokens.Has(tokens, aNow)) {
    return NotRunRefusal(aRow.mFacts.mId,
                         429,
                         refusal::kTeamLimit,
                         "The team exceeded its limit of tokens per second.",
                         row.mTokens.Wait(tokens));
  }
  row.mRequests.Take(1);
  row.mTokens.Take(tokens);
  ++row.mInFlight;
  aRow.mReservedTokens = tokens;
  return std::nullopt;
}

void LimitSystem::Refund(RequestRow& aRow)
{
  auto& row = mTables.mTeams.Get(aRow.mTeam);
  row.mRequests.Refund(1);
  row.mTokens.Refund(aRow.mReservedTokens);
  aRow.mReservedTokens = 0;
}

void LimitSystem::Settle(RequestRow& aRow, const AttemptOutcome& aOutcome)
{
  if (aOutcome.mEnd != AttemptEnd::Complete) {
    return;
  }
  const double used = static_cast<double>(aOutcome.mPromptTokens) + aOutcome.mCompletionTokens;
  auto& row = mTables.mTeams.Get(aRow.mTeam);
  row.mTokens.Take(used - aRow.mReservedTokens);
  aRow.mReservedTokens = used;
  RecordAnswerSize(row, used);
}

void LimitSystem::RecordAnswerSize(TeamRow& aRow, double aTokens)
{
  constexpr double kDecay = 1 - 1 / kAnswerWindow;
  auto& sizes = aRow.mAnswerSizes;
  sizes.mTokens = sizes.mTokens * kDecay + aTokens;
  sizes.mSquaredTokens = sizes.mSquaredTokens * kDecay + aTokens * aTokens;
  aRow.mTokens.SetMinBurst(kMinBurstRequests * sizes.MeanOverTokens());
}

void LimitSystem::ReleaseConcurrency(const RequestRow& aRow)
{
  auto& row = mTables.mTeams.Get(aRow.mTeam);
  if (row.mInFlight > 0) {
    --row.mInFlight;
  }
}

void LimitSystem::Tick(TimePoint aNow)
{
  for (auto& it : mTables.mTeams.All()) {
    auto& row = it.second;
    if (row.mCurrent.mSince == TimePoint{}) {
      row.mCurrent.mSince = aNow;
      continue;
    }
    if (aNow - row.mCurrent.mSince < kDemandWindow) {
      continue;
    }
    row.mLast = row.mCurrent;
    row.mLastSeconds = SecondsSince(row.mCurrent.mSince, aNow);
    row.mCurrent = { aNow, 0, 0 };
  }
}

std::vector<TeamDemand> LimitSystem::Demand(TimePoint /*aNow*/) const
{
  std::vector<TeamDemand> demand;
  for (const auto& it : mTables.mTeams.All()) {
    const auto& row = it.second;
    const double seconds = row.mLastSeconds > 0 ? row.mLastSeconds : 1;
    demand.push_back({ it.first, row.mLast.mRequests / seconds, row.mLast.mTokens / seconds });
  }
  return demand;
}

void LimitSystem::SetRates(const Team& aTeam, TeamRow& aRow, TimePoint aNow) const
{
  const double start = mTables.mOptions.mInitialLimitShare;
  const double requests =
    aRow.mHasShare ? aRow.mShare.mRequestsPerSecond : start * aTeam.mRequestsPerSecond;
  const double tokens =
    aRow.mHasShare ? aRow.mShare.mTokensPerSecond : start * aTeam.mTokensPerSecond;
  aRow.mRequests.SetMinBurst(kMinBurstRequests);
  aRow.mRequests.SetRate(std::min(requests, aTeam.mRequestsPerSecond), aNow);
  aRow.mTokens.SetRate(std::min(tokens, aTeam.mTokensPerSecond), aNow);
}

double LimitSystem::ConcurrencyShare(const Team& aTeam, const TeamRow& aRow) const
{
  double share = mTables.mOptions.mInitialLimitShare;
  if (aRow.mHasShare && aTeam.mRequestsPerSecond > 0) {
    share = aRow.mShare.mRequestsPerSecond / aTeam.mRequestsPerSecond;
  }
  return std::ceil(std::min(1.0, share) * aTeam.mConcurrency);
}

} // namespace skylarkchute
