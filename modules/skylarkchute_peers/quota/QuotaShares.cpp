#include "QuotaShares.h"

#include "../events/PeersEvents.h"
#include "../messages/Methods.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

QuotaShares::QuotaShares(InstanceId aSelf, QuotaOptions aOptions)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mMembers{ mSelf }
{
  assert(mOptions.mSilenceTimeout + 2 * mOptions.mPeriod < 2 * mOptions.mGrantLifetime);
}

void QuotaShares::SetLimits(std::vector<LimitShare> aLimits)
{
  mLimits = std::move(aLimits);
  mLastShares.clear();
}

InstanceId QuotaShares::CollectorOf(const TeamName& aTeam) const
{
  const auto order = RendezvousOrder("quota/" + aTeam.Value(), mMembers, 1);
  return order.empty() ? mSelf : order.front();
}

QuotaFractions QuotaShares::EffectiveFractions(const TeamName& aTeam, TimePoint aNow) const
{
  const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(mMembers.size(), 1));
  const auto it = mGrants.find(aTeam);
  const bool granted = it != mGrants.end() && it->second.mReportSentAt;
  const auto age = aNow - (granted ? *it->second.mReportSentAt : mStartedAt.value_or(aNow));
  if (age > 2 * mOptions.mGrantLifetime) {
    return { equal, equal };
  }
  if (!granted) {
    return { mOptions.mFloorFraction * equal, mOptions.mFloorFraction * equal };
  }
  const auto& fractions = it->second.mFractions;
  if (age > mOptions.mGrantLifetime) {
    return { std::min(fractions.mRequests, equal), std::min(fractions.mTokens, equal) };
  }
  return fractions;
}

QuotaOutput QuotaShares::Tick(const std::vector<TeamDemand>& aDemand, TimePoint aNow)
{
  QuotaOutput output;
  if (!mStartedAt) {
    mStartedAt = aNow;
    mNextReport = aNow;
  }
  if (aNow >= mNextReport) {
    // Until every member has reported, the collector grants no more than a member already holds.
    // Reports are therefore more frequent just after the start.
    const bool isStarting = aNow - *mStartedAt < mOptions.mGrantLifetime;
    mNextReport =
      std::max(mNextReport + (isStarting ? mOptions.mStartupPeriod : mOptions.mPeriod), aNow);
    SendReports(aDemand, aNow, output);
  }
  UpdateSilence(aNow, output);
  output.mShares = ChangedShares(aNow);
  return output;
}

void QuotaShares::UpdateSilence(TimePoint aNow, QuotaOutput& aOutput)
{
  for (const auto& limit : mLimits) {
    auto& grant = mGrants[limit.mTeam];
    const auto since = grant.mReportSentAt.value_or(*mStartedAt);
    const bool silent = aNow - since > 2 * mOptions.mGrantLifetime;
    if (silent && !grant.mCollectorIsSilent) {
      aOutput.mEvents.push_back({ &kQuotaSilent, { { "team", limit.mTeam.Value() } } });
    }
    grant.mCollectorIsSilent = silent;
  }
}

void QuotaShares::SendReports(const std::vector<TeamDemand>& aDemand,
                              TimePoint aNow,
                              QuotaOutput& aOutput)
{
  std::map<InstanceId, QuotaReport> reports;
  for (const auto& limit : mLimits) {
    const auto demand = std::find_if(aDemand.begin(), aDemand.end(), [&](const TeamDemand& aTeam) {
      return aTeam.mTeam == limit.mTeam;
    });
    const auto since = mGrants[limit.mTeam].mReportSentAt.value_or(*mStartedAt);
    const bool stale = aNow - since > mOptions.mSilenceTimeout;
    QuotaReportRow row{ { limit.mTeam, 0, 0 }, EffectiveFractions(limit.mTeam, aNow), stale };
    if (demand != aDemand.end()) {
      row.mDemand = *demand;
    }
    auto& report = reports[CollectorOf(limit.mTeam)];
    report.mFrom = mSelf;
    report.mRows.push_back(row);
  }
  for (const auto& [to, report] : reports) {
    if (to == mSelf) {
      ApplyGrants(Allocate(report, aNow), aNow);
      continue;
    }
    const auto id = mNextCall++;
    mPendingReports.emplace(id, aNow);
    aOutput.mCalls.push_back(
      { id, to, kQuotaDemandMethod, EncodeQuotaReport(report), mOptions.mPeriod / 2 });
  }
}

QuotaGrants QuotaShares::Allocate(const QuotaReport& aReport, TimePoint aNow)
{
  QuotaGrants grants;
  for (const auto& it : aReport.mRows) {
    const auto& team = it.mDemand.mTeam;
    const ShareAllocator initial(mOptions, aNow);
    auto& allocators = mAllocators.try_emplace(team, Allocators{ initial, initial }).first->second;
    grants.mRows.push_back({ team,
                             { allocators.mRequests.Report(aReport.mFrom,
                                                           it.mDemand.mRequestsPerSecond,
                                                           it.mHeld.mRequests,
                                                           it.mStale,
                                                           mMembers,
                                                           aNow),
                               allocators.mTokens.Report(aReport.mFrom,
                                                         it.mDemand.mTokensPerSecond,
                                                         it.mHeld.mTokens,
                                                         it.mStale,
                                                         mMembers,
                                                         aNow) } });
  }
  return grants;
}

std::string QuotaShares::OnReport(const std::string& aParams, TimePoint aNow)
{
  const auto report = DecodeQuotaReport(aParams);
  return EncodeQuotaGrants(report ? Allocate(*report, aNow) : QuotaGrants());
}

QuotaOutput QuotaShares::OnReply(const PeerReply& aReply, TimePoint aNow)
{
  QuotaOutput output;
  const auto sent = mPendingReports.find(aReply.mId);
  if (sent == mPendingReports.end()) {
    return output;
  }
  const auto since = sent->second;
  mPendingReports.erase(sent);
  const auto grants = aReply.mOk ? DecodeQuotaGrants(aReply.mResult) : std::nullopt;
  // A reply that took longer than a period may answer a report older than the latest one.
  if (!grants || aNow - since > mOptions.mPeriod) {
    return output;
  }
  ApplyGrants(*grants, since);
  output.mShares = ChangedShares(aNow);
  return output;
}

void QuotaShares::ApplyGrants(const QuotaGrants& aGrants, TimePoint aReportSentAt)
{
  for (const auto& it : aGrants.mRows) {
    auto& grant = mGrants[it.mTeam];
    grant.mReportSentAt = aReportSentAt;
    grant.mFractions = it.mFractions;
  }
}

std::vector<LimitShare> QuotaShares::ChangedShares(TimePoint aNow)
{
  std::vector<LimitShare> shares;
  bool changed = mLastShares.size() != mLimits.size();
  for (std::size_t n = 0; n < mLimits.size(); ++n) {
    const auto& limit = mLimits[n];
    const auto fractions = EffectiveFractions(limit.mTeam, aNow);
    const LimitShare share{ limit.mTeam,
                            limit.mRequestsPerSecond * fractions.mRequests,
                            limit.mTokensPerSecond * fractions.mTokens };
    changed = changed || share.mRequestsPerSecond != mLastShares[n].mRequestsPerSecond ||
              share.mTokensPerSecond != mLastShares[n].mTokensPerSecond;
    shares.push_back(share);
  }
  if (!changed) {
    return {};
  }
  mLastShares = shares;
  return shares;
}

} // namespace skylarkchute
