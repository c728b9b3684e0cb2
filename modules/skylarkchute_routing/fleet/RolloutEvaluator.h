#pragma once

#include "RelayConfig.h"
#include "VersionComparison.h"

#include <map>

namespace skylarkchute {

/** Answer counts of both versions of a rollout. */
struct ComparedCounts
{
  VersionCounts mOlder;
  VersionCounts mNewer;

  ComparedCounts& operator+=(const ComparedCounts& aOther);
  friend ComparedCounts operator-(const ComparedCounts& aLeft, const ComparedCounts& aRight);
  friend bool operator==(const ComparedCounts&, const ComparedCounts&) = default;

  /** Returns whether none of the counts is lower than that of @p aOther. */
  bool Includes(const ComparedCounts& aOther) const
  {
    return mOlder.Includes(aOther.mOlder) && mNewer.Includes(aOther.mNewer);
  }
};

/** Counts by class of request. At most kMaxComparedClasses entries; classes for which there is no
    room share the entry kOtherClasses. */
using ClassCounts = std::map<RouteClass, ComparedCounts>;

inline constexpr std::size_t kMaxComparedClasses = 8;
inline constexpr RouteClass kOtherClasses{ 0 };

/** Returns the entry of a class, or that of the other classes when there is no room for one more.
    The same class always has the same entry, because none is removed. */
template<typename Map>
typename Map::mapped_type& EntryOfClass(Map& aMap, RouteClass aClass)
{
  const auto found = aMap.find(aClass);
  if (found != aMap.end()) {
    return found->second;
  }
  return aMap[aMap.size() + 1 < kMaxComparedClasses ? aClass : kOtherClasses];
}

/** Decides from the answers of all instances whether a version is worse than the one it replaces.

    Detects a version that fails or slows down some of its requests, immediately or later, also if
    it does so for one class only. Classes are compared one by one, because the failures that are
    usual in one class would hide those of another in the sum, and in sum, because a class may have
    few answers. */
class RolloutEvaluator
{
public:
  /** Adds answers of both versions to the sum over all classes. Those of the older version count
      first. */
  void AddToSum(const ComparedCounts& aCounts);

  /** Adds answers of both versions to a class. Those of the older version count first. */
  void AddToClass(RouteClass aClass, const ComparedCounts& aCounts);

  /** Returns whether the newer version is bad. Stays true once set. */
  bool IsBad() const { return mIsBad; }

  /** Returns the answers of the newer version so far. */
  std::uint64_t NewerAnswers() const { return mNewerAnswers; }

private:
  VersionComparison mSum;
  std::map<RouteClass, VersionComparison> mClasses;
  std::uint64_t mNewerAnswers = 0;
  bool mIsBad = false;
};

} // namespace skylarkchute
