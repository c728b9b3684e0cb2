#include "UsualRates.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Requests are counted in windows of this length; a team sends an instance about one request a
    second, so that shorter ones would count noise. */
constexpr std::chrono::milliseconds kWindow{ 5000 };

/** Part by which a window moves the usual rate, and the multiple of it up to which a window counts.
    A burst of any size raises the rate by a sixth in each window. */
constexpr double kWindowWeight = 1.0 / 6;
constexpr double kMaxGrowth = 2;

/** Rate of a team without history, in requests per second, and the least one. */
constexpr double kMinRate = 0.2;

/** Longest time without requests that is accounted for, in windows. */
constexpr int kMaxWindows = 60;

} // namespace

void UsualRates::EndWindows(TimePoint aNow)
{
  if (mWindowStart == TimePoint{}) {
    mWindowStart = aNow;
  }
  for (int n = 0; n < kMaxWindows && aNow - mWindowStart >= kWindow; ++n) {
    mWindowStart += kWindow;
    for (auto& [name, team] : mTeams) {
      const double rate =
        static_cast<double>(team.mCount) / std::chrono::duration<double>(kWindow).count();
      team.mCount = 0;
      const double counted = std::min(rate, kMaxGrowth * std::max(team.mRate, kMinRate));
      team.mRate = team.mHasRate ? team.mRate + kWindowWeight * (counted - team.mRate) : rate;
      team.mHasRate = true;
    }
    std::erase_if(mTeams, [](const auto& aEntry) { return aEntry.second.mRate < kMinRate / 100; });
  }
  if (aNow - mWindowStart >= kWindow) {
    mWindowStart = aNow;
  }
}

void UsualRates::OnRequest(const std::string& aTeam, TimePoint aNow)
{
  EndWindows(aNow);
  ++mTeams[aTeam].mCount;
}

double UsualRates::RateOf(const std::string& aTeam) const
{
  const auto found = mTeams.find(aTeam);
  return found == mTeams.end() ? kMinRate : std::max(found->second.mRate, kMinRate);
}

} // namespace skylarkchute
