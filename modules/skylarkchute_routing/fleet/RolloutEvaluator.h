#pragma once

#include "LoadTrial.h"
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

/** Counts of the load trial, for endpoints of which at least half of the slots were taken. The
    versions are comparable since their endpoints have the same load and equally cold caches. */
struct TrialCounts
{
  /** By kTrialSlowFactors. Slow answers are counted before they end, so the numbers of answers may
      differ for a while. */
  std::array<ComparedCounts, kTrialSlowFactors.size()> mLevels;

  TrialCounts& operator+=(const TrialCounts& aOther);
  friend TrialCounts operator-(const TrialCounts& aLeft, const TrialCounts& aRight);
  friend bool operator==(const TrialCounts&, const TrialCounts&) = default;

  /** Returns whether none of the counts is lower than that of @p aOther. */
  bool Includes(const TrialCounts& aOther) const;
};

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
    few answers. Answers of the load trial have tests of their own: they are few beside all others,
    and slower than these at a good version, too. */
class RolloutEvaluator
{
public:
  /** Adds answers of both versions to the sum over all classes. Those of the older version count
      first.
      @param aTrial  those of the answers that belong to the load trial; they are not counted as
                     slow in the sum */
  void AddToSum(const ComparedCounts& aCounts, const TrialCounts& aTrial = {});

  /** Adds answers of both versions to a class. Those of the older version count first. */
  void AddToClass(RouteClass aClass, const ComparedCounts& aCounts);

  /** Returns whether the newer version is bad. Stays true once set. */
  bool IsBad() const { return mIsBad; }

  /** Returns whether the newer version has given enough answers under load, and is not suspected to
      be worse there. */
  bool IsProvenUnderLoad() const;

  /** Returns the answers of the newer version so far. */
  std::uint64_t NewerAnswers() const { return mNewerAnswers; }

  /** Returns the answers of both versions so far. */
  std::uint64_t Answers() const { return mAnswers; }

private:
  VersionComparison mSum;
  // Where all answers of the older version are slow, too, nothing is judged.
  std::array<VersionComparison, kTrialSlowFactors.size()> mLoaded{ VersionComparison(1),
                                                                   VersionComparison(1),
                                                                   VersionComparison(1),
                                                                   VersionComparison(1) };
  ComparedCounts mLoadedAnswers;
  std::map<RouteClass, VersionComparison> mClasses;
  std::uint64_t mAnswers = 0; /**< Of both versions. */
  std::uint64_t mNewerAnswers = 0;
  bool mIsBad = false;
};

} // namespace skylarkchute
