#include "CrashSuspects.h"

namespace skylarkchute {

namespace {

/** Crashes under one request after which it is refused. */
constexpr std::size_t kRefusedFrom = 2;

/** How long instances keep telling each other of a crash. */
constexpr std::chrono::seconds kToldFor{ 5 };

/** Refused for this long after the last crash, then tried again: a request that was only beside the
    crashing one is served again, and one that crashes costs an endpoint no more often than this. */
constexpr std::chrono::seconds kRefusedFor{ 30 };

/** Whether an endpoint is down is known well within this time after a loss. */
constexpr std::chrono::seconds kUnknownFor{ 2 };

/** A request that did not come again for this long is forgotten. */
constexpr std::chrono::seconds kLifetime{ 600 };

constexpr std::size_t kMostRows = 4096;

} // namespace

bool CrashSuspects::OnCrash(const Crash& aCrash, TimePoint aNow)
{
  if (mRows.size() >= kMostRows && mRows.find(aCrash.mFingerprint) == mRows.end()) {
    return false;
  }
  auto& row = mRows[aCrash.mFingerprint];
  const bool isNew = row.mEndpoints.insert(aCrash.mEndpoint).second;
  if (isNew) {
    row.mLast = aNow;
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
  mRows.erase(aFingerprint);
  for (auto& [endpoint, lost] : mLost) {
    lost.mFingerprints.erase(aFingerprint);
  }
}

bool CrashSuspects::IsRefused(std::uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = mRows.find(aFingerprint);
  return found != mRows.end() && found->second.mEndpoints.size() >= kRefusedFrom &&
         aNow - found->second.mLast < kRefusedFor;
}

std::vector<CrashSuspects::Crash> CrashSuspects::Recent(TimePoint aNow) const
{
  std::vector<Crash> recent;
  for (const auto& [fingerprint, row] : mRows) {
    if (aNow - row.mLast < kToldFor) {
      for (const auto& endpoint : row.mEndpoints) {
        recent.push_back({ fingerprint, endpoint });
      }
    }
  }
  return recent;
}

void CrashSuspects::Prune(TimePoint aNow)
{
  std::erase_if(mRows, [&](const auto& aRow) { return aNow - aRow.second.mLast > kLifetime; });
  std::erase_if(mLost, [&](const auto& aLost) { return aNow - aLost.second.mLast > kUnknownFor; });
}

} // namespace skylarkchute
