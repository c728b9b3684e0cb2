#include "ServedShares.h"

#include <cmath>

namespace skylarkchute {

namespace {

/** Counts are halved in this time. Overload lasts for several seconds, so that older requests say
    little about it. */
constexpr std::chrono::milliseconds kHalfLife{ 5000 };

/** Requests of a kind from which its share is used. */
constexpr double kMinOffered = 3;

} // namespace

void ServedShares::Fade(TimePoint aNow)
{
  if (aNow <= mFadedAt) {
    return;
  }
  const double halvings = std::chrono::duration<double>(aNow - mFadedAt) / kHalfLife;
  mFadedAt = aNow;
  const double factor = std::exp2(-halvings);
  for (auto& [kind, counts] : mCounts) {
    counts.mOffered *= factor;
    counts.mServed *= factor;
  }
}

void ServedShares::OnOffered(std::size_t aKind, TimePoint aNow)
{
  Fade(aNow);
  mCounts[aKind].mOffered += 1;
}

void ServedShares::OnServed(std::size_t aKind, TimePoint aNow)
{
  Fade(aNow);
  mCounts[aKind].mServed += 1;
}

double ServedShares::RelativeShare(std::size_t aKind) const
{
  Counts all;
  for (const auto& [kind, counts] : mCounts) {
    all.mOffered += counts.mOffered;
    all.mServed += counts.mServed;
  }
  const auto found = mCounts.find(aKind);
  if (found == mCounts.end() || found->second.mOffered < kMinOffered || all.mServed <= 0) {
    return 1;
  }
  const auto& own = found->second;
  return (own.mServed / own.mOffered) / (all.mServed / all.mOffered);
}

} // namespace skylarkchute
