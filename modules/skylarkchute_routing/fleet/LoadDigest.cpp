#include "LoadDigest.h"

#include <algorithm>

namespace skylarkchute {

std::uint32_t LoadDigest::KeyOf(const FleetEndpoint& aEntry)
{
  return static_cast<std::uint32_t>(StableHash(aEntry.mId.Value(), aEntry.mIncarnationStart));
}

std::vector<RelayedLoad> LoadDigest::Take(FleetTable& aTable,
                                          std::size_t aMaxReports,
                                          TimePoint aNow)
{
  std::vector<FleetRow*> rows;
  for (auto& [id, row] : aTable.All()) {
    if (row.mUsesFleetLoad && row.mReportSends < kMaxSends && row.mReportedAt != TimePoint{} &&
        aNow - row.mReportedAt < kMaxAge) {
      rows.push_back(&row);
    }
  }
  const auto count = std::min(aMaxReports, rows.size());
  std::partial_sort(rows.begin(),
                    rows.begin() + static_cast<std::ptrdiff_t>(count),
                    rows.end(),
                    [](const FleetRow* aLeft, const FleetRow* aRight) {
                      return aLeft->mReportedAt > aRight->mReportedAt;
                    });
  rows.resize(count);
  std::vector<RelayedLoad> reports;
  reports.reserve(count);
  for (auto* it : rows) {
    ++it->mReportSends;
    reports.push_back({ it->mDigestKey,
                        it->mReport,
                        std::chrono::ceil<std::chrono::milliseconds>(aNow - it->mReportedAt) });
  }
  return reports;
}

std::size_t LoadDigest::Apply(FleetTable& aTable,
                              const std::vector<RelayedLoad>& aReports,
                              TimePoint aNow)
{
  std::size_t recorded = 0;
  for (const auto& it : aReports) {
    FleetRow* known = nullptr;
    bool isAmbiguous = false;
    for (auto& [id, row] : aTable.All()) {
      if (row.mDigestKey == it.mKey) {
        isAmbiguous = known != nullptr;
        known = &row;
      }
    }
    if (known == nullptr || isAmbiguous || it.mAge < std::chrono::milliseconds(0) ||
        it.mAge >= kMaxAge || !(known->mUsesFleetLoad || it.mLoad.mPace)) {
      continue;
    }
    const auto at = aNow - it.mAge;
    const auto sends = known->mReportSends;
    const bool isNews = at - known->mReportedAt >= kMinNews;
    if (at > known->mReportedAt && known->OnReport(it.mLoad, at, aNow)) {
      known->mReportSends = isNews ? 0 : sends;
      ++recorded;
    }
  }
  return recorded;
}

} // namespace skylarkchute
