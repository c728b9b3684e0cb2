#pragma once

#include "Figures.h"

#include <boost/leaf.hpp>

#include <optional>

namespace skylarkchute {

/** The least and most that one figure of one run may be. */
struct Bound
{
  std::string mName;
  RunOptions mRun;
  std::string mFigure;
  std::string mSlice;
  std::optional<double> mLeast;
  std::optional<double> mMost;
  std::string mTarget; /**< The target that the bound comes from. */
};

/** The outcome of one bound. */
struct BoundResult
{
  Bound mBound;
  std::optional<double> mValue; /**< Empty when the run gave no such figure. */
  bool mHolds = false;
  bool mKnownFailure = false; /**< Listed as failing for a known fault. */

  /** Returns one line for people. */
  std::string Text() const;
};

/** Parses a bounds file; errors are of type Faults. */
boost::leaf::result<std::vector<Bound>> ParseBounds(const std::string& aText);

/** Runs each distinct run once and compares.
    @param aKnownFailures  text of the list of known failures, which names a bound as `bound NAME:`
 */
std::vector<BoundResult> CheckBounds(const std::vector<Bound>& aBounds,
                                     const std::string& aKnownFailures);

} // namespace skylarkchute
