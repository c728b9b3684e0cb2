#pragma once

#include "workload/FaultPlan.h"
#include "workload/Workload.h"

#include <string>

namespace skylarkchute {

/** Options of one benchmark run. */
struct RunOptions
{
  std::string mWorkload = "call-boxes";
  std::string mRouter = "skylarkchute";
  std::uint64_t mSeed = 1;
  double mLoad = 1;         /**< Factor on every arrival rate. */
  double mStagePercent = 0; /**< Final share of the rolling version, in percent. */
  bool mCascades = true;    /**< If false, every class uses the expensive model only. */
  double mHeadroom = 100;   /**< Team limits as a multiple of the mean demand at normal load. */
  std::chrono::microseconds mLength{ 0 };
  FaultPlan mFaults;

  /** Returns the options for MakeWorkload. */
  WorkloadOptions ToWorkloadOptions() const { return { mLoad, mCascades, mHeadroom }; }

  /** Returns the run as command-line options; equal runs have equal texts. */
  std::string Text() const;
};

} // namespace skylarkchute
