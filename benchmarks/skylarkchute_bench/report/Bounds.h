#pragma once

#include "Figures.h"

#include <boost/leaf.hpp>

#include <optional>

namespace skylarkchute {

/** The range that one figure of one run must lie in. */
struct Bound
{
  std::string mName;
  RunOptions mRun;
  std::string mFigure;
  std::string mSlice;
  std::optional<double> mLeast; /**< Inclusive; no lower limit if empty. */
  std::optional<double> mMost;  /**< Inclusive; no upper limit if empty. */
  std::string mTarget;          /**< The requirement that the bound checks. */
};

/** The result of checking one bound. */
struct BoundResult
{
  Bound mBound;
  std::optional<double> mValue; /**< Empty if the run has no such figure. */
  bool mHolds = false;
  bool mKnownFailure = false; /**< Listed as a known failure. */

  /** Returns a human-readable line without a line break. */
  std::string Text() const;
};

/** Parses a bounds file.
    @returns the bounds, or an error of type Faults that lists what is invalid */
boost::leaf::result<std::vector<Bound>> ParseBounds(const std::string& aText);

/** Performs each distinct run once and compares its figures with the bounds.
    @param aKnownFailures  contents of the list of known failures, with entries `bound NAME:` */
std::vector<BoundResult> CheckBounds(const std::vector<Bound>& aBounds,
                                     const std::string& aKnownFailures);

} // namespace skylarkchute
