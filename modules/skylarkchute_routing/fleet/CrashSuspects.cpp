#include "CrashSuspects.h"

namespace skylarkchute {

namespace {

/** Crashes under one request after which it is refused. */
constexpr std::size_t kRefusedFrom = 2;

/** How long instances keep telling each other of a crash. */
constexpr std::chrono::seconds kToldFor{ 5 };

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

bool CrashSuspects::IsRefused(std::uint64_t aFingerprint) const
{
  const auto found = mRows.find(aFingerprint);
  return found != mRows.end() && found->second.mEndpoints.size() >= kRefusedFrom;
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
}

} // namespace skylarkchute
