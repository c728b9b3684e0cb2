#include "ConfigLag.h"

#include <algorithm>
#include <iterator>

namespace skylarkchute {

namespace {

/** Newer versions that are remembered. Only the oldest and the newest one matter while this
    instance lags, so one between them makes room. */
constexpr std::size_t kMaxNewer = 64;

} // namespace

void ConfigLag::OnNamed(std::uint64_t aVersion, const std::string& aInstance, TimePoint aNow)
{
  if (aVersion <= mInForce) {
    return;
  }
  mNewer.try_emplace(aVersion, Named{ aNow, aInstance });
  if (mNewer.size() > kMaxNewer) {
    mNewer.erase(std::next(mNewer.begin()));
  }
}

void ConfigLag::OnInForce(std::uint64_t aVersion)
{
  mInForce = aVersion;
  mNewer.erase(mNewer.begin(), mNewer.upper_bound(aVersion));
  mIsReported = mIsReported && !mNewer.empty();
}

std::chrono::milliseconds ConfigLag::Lag(TimePoint aNow) const
{
  TimePoint since = aNow;
  for (const auto& [version, named] : mNewer) {
    since = std::min(since, named.mAt);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - since);
}

std::optional<ConfigLag::Report> ConfigLag::TakeReport(TimePoint aNow)
{
  const auto lag = Lag(aNow);
  if (mIsReported || lag < kReportTime) {
    return std::nullopt;
  }
  mIsReported = true;
  const auto& [version, named] = *mNewer.rbegin();
  return Report{ version, named.mInstance, lag };
}

} // namespace skylarkchute
