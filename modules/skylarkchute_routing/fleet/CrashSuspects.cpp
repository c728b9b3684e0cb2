#include "CrashSuspects.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Number of crashes of different endpoint incarnations from which a request is refused. */
constexpr std::size_t kMinCrashesToRefuse = 2;

/** How long a crash is reported to the other instances. */
constexpr std::chrono::seconds kReportPeriod{ 5 };

/** How long a request is refused after its last crash. It is then tried again, so that a request
    that merely ran alongside the crashing one is served again, and a request that does crash
    endpoints takes one down at most once in this period. */
constexpr std::chrono::seconds kRefusalPeriod{ 30 };

/** How long a lost request is kept while the state of its endpoint is unknown. A crashed endpoint
    is found to be unreachable well within this time. */
constexpr std::chrono::seconds kLostRequestLifetime{ 2 };

/** A request is forgotten this long after its last crash. */
constexpr std::chrono::seconds kSuspectLifetime{ 600 };

constexpr std::size_t kMaxSuspects = 4096;

} // namespace

bool CrashSuspects::OnCrash(const Crash& aCrash, TimePoint aNow)
{
  if (mSuspects.size() >= kMaxSuspects && mSuspects.find(aCrash.mFingerprint) == mSuspects.end()) {
    return false;
  }
  auto& suspect = mSuspects[aCrash.mFingerprint];
  const bool isNew = suspect.mEndpoints.insert(aCrash.mEndpoint).second;
  if (isNew) {
    suspect.mLast = aNow;
  }
  return isNew;
}

void CrashSuspects::OnLost(const Crash& aCrash, TimePoint aNow)
{
  auto& lost = mLost[aCrash.mEndpoint];
  lost.mFingerprints.insert(aCrash.mFingerprint);
  lost.mLast = aNow;
}

std::vector<CrashSuspects::Crash> CrashSuspects::OnEndpointDown(const std::string& aEndpoint,
                                                                TimePoint aNow)
{
  std::vector<Crash> crashes;
  const auto lost = mLost.extract(aEndpoint);
  if (lost.empty()) {
    return crashes;
  }
  for (const auto it : lost.mapped().mFingerprints) {
    const Crash crash{ it, aEndpoint };
    if (OnCrash(crash, aNow)) {
      crashes.push_back(crash);
    }
  }
  return crashes;
}

void CrashSuspects::OnSuccess(std::uint64_t aFingerprint)
{
  mSuspects.erase(aFingerprint);
  for (auto& [endpoint, lost] : mLost) {
    lost.mFingerprints.erase(aFingerprint);
  }
}

bool CrashSuspects::IsRefused(std::uint64_t aFingerprint,
                              TimePoint aNow,
                              const std::function<bool(const std::string&)>& aIsExplained) const
{
  const auto found = mSuspects.find(aFingerprint);
  if (found == mSuspects.end() || aNow - found->second.mLast >= kRefusalPeriod) {
    return false;
  }
  const auto& endpoints = found->second.mEndpoints;
  const auto explained =
    aIsExplained ? std::count_if(endpoints.begin(), endpoints.end(), aIsExplained) : 0;
  return endpoints.size() - static_cast<std::size_t>(explained) >= kMinCrashesToRefuse;
}

std::vector<CrashSuspects::Crash> CrashSuspects::Recent(TimePoint aNow) const
{
  std::vector<Crash> recent;
  for (const auto& [fingerprint, suspect] : mSuspects) {
    if (aNow - suspect.mLast < kReportPeriod) {
      for (const auto& endpoint : suspect.mEndpoints) {
        recent.push_back({ fingerprint, endpoint });
      }
    }
  }
  return recent;
}

void CrashSuspects::Prune(TimePoint aNow)
{
  std::erase_if(mSuspects, [&](const auto& aSuspect) {
    return aNow - aSuspect.second.mLast > kSuspectLifetime;
  });
  std::erase_if(
    mLost, [&](const auto& aLost) { return aNow - aLost.second.mLast > kLostRequestLifetime; });
}

} // namespace skylarkchute
