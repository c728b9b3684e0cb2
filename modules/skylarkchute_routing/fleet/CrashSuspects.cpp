#include "CrashSuspects.h"

namespace skylarkchute {

namespace {

/** Number of crashes of different endpoint incarnations from which a request is refused. */
constexpr std::size_t kRefusedFrom = 2;

/** How long a crash is reported to the other instances. */
constexpr std::chrono::seconds kToldFor{ 5 };

/** How long a request is refused after its last crash. It is then tried again, so that a request
    that merely ran alongside the crashing one is served again, and a request that does crash
    endpoints takes one down at most once in this period. */
constexpr std::chrono::seconds kRefusedFor{ 30 };

/** How long a lost request is kept while the state of its endpoint is unknown. A crashed endpoint
    is found to be unreachable well within this time. */
constexpr std::chrono::seconds kUnknownFor{ 2 };

/** A request is forgotten this long after its last crash. */
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
