#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

enum class FaultKind
{
  None,
  RaterDown,
  RaterSlow,
  RaterHigh, /**< Rates every answer good. */
  RaterLow,  /**< Rates a third of the good answers bad. */
  CheapWorsens,
  BadErrors,
  BadTimeouts,
  BadQuality,
  BadLatency,
  BadTeam,
  BadZone,
  AllFail,
  SlowEndpoint,
  FlappingEndpoint,
  ZoneLost,
  LeavingEndpoints,
  Flood, /**< One team sends ten times its share. */
  CrashingRequest,
};

/** One fault from a time to another. */
struct FaultPlan
{
  FaultKind mKind = FaultKind::None;
  std::chrono::microseconds mFrom{ 0 };  /**< After the start of the run. */
  std::chrono::microseconds mUntil{ 0 }; /**< After the start of the run. */

  /** Returns whether the fault is of that kind and present.
      @param aElapsed  since the start of the run */
  bool IsActive(FaultKind aKind, std::chrono::microseconds aElapsed) const
  {
    return mKind == aKind && aElapsed >= mFrom && aElapsed < mUntil;
  }

  /** Returns whether the rolling version turns bad in this plan. */
  bool IsBadVersion() const { return mKind >= FaultKind::BadErrors && mKind <= FaultKind::BadZone; }
};

/** Returns the fault of that name, such as `rater-down`, or nothing. */
std::optional<FaultKind> FindFault(const std::string& aName);

/** Returns the name of a fault. */
std::string FaultName(FaultKind aKind);

/** Returns the names of all faults. */
std::vector<std::string> FaultNames();

} // namespace skylarkchute
