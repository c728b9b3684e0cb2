#pragma once

#include "workload/FaultPlan.h"
#include "workload/Workload.h"

#include <string>

namespace skylarkchute {

/** One run of the bench. */
struct RunOptions
{
  std::string mWorkload = "call-boxes";
  std::string mRouter = "skylarkchute";
  std::uint64_t mSeed = 1;
  double mLoad = 1;
  double mStagePercent = 0; /**< Share of the rolling version. */
  bool mCascades = true;
  double mHeadroom = 100;
  std::chrono::microseconds mLength{ 0 };
  FaultPlan mFaults;

  /** Returns what the workload is made from. */
  WorkloadOptions ToWorkloadOptions() const { return { mLoad, mCascades, mHeadroom }; }

  /** Returns a text that is equal for equal runs. */
  std::string Text() const;
};

} // namespace skylarkchute
