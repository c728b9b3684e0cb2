#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The faults that a run can inject. The order matches the table of names in FaultPlan.cpp; the
    kinds from BadErrors to BadZone are faults of the rolling version. */
enum class FaultKind
{
  None,
  RaterDown,        /**< No answer gets a rating. */
  RaterSlow,        /**< Ratings take 10 s. */
  RaterHigh,        /**< Rates every answer good. */
  RaterLow,         /**< Rates a third of the good answers bad. */
  CheapWorsens,     /**< Both versions of the cheap model give fewer good answers. */
  BadErrors,        /**< The rolling version fails most attempts. */
  BadTimeouts,      /**< The rolling version hangs on most attempts. */
  BadQuality,       /**< The rolling version gives fewer good answers. */
  BadLatency,       /**< The rolling version is slow. */
  BadTeam,          /**< The rolling version fails most attempts of one team. */
  BadZone,          /**< The rolling version fails most attempts in one zone. */
  AllFail,          /**< Every attempt returns an error. */
  SlowEndpoint,     /**< One endpoint is slow. */
  FlappingEndpoint, /**< One endpoint alternates: 10 s up, 10 s down. */
  ZoneLost,         /**< All endpoints of one zone are down. */
  LeavingEndpoints, /**< Every fourth endpoint is leaving. */
  Flood,            /**< One team sends ten times its normal load. */
  CrashingRequest,  /**< Some requests crash every endpoint that runs them. */
};

/** One fault and the period in which it is injected. */
struct FaultPlan
{
  FaultKind mKind = FaultKind::None;
  std::chrono::microseconds mFrom{ 0 };  /**< After the start of the run. */
  std::chrono::microseconds mUntil{ 0 }; /**< After the start of the run. */

  /** Returns whether this is a fault of kind @p aKind and it is active.
      @param aElapsed  time since the start of the run */
  bool IsActive(FaultKind aKind, std::chrono::microseconds aElapsed) const
  {
    return mKind == aKind && aElapsed >= mFrom && aElapsed < mUntil;
  }

  /** Returns whether the fault is one of the rolling version, at any time of the run. */
  bool IsBadVersion() const { return mKind >= FaultKind::BadErrors && mKind <= FaultKind::BadZone; }
};

/** Returns the fault with a name such as `rater-down`, or an empty value if the name is unknown. */
std::optional<FaultKind> FindFault(const std::string& aName);

std::string FaultName(FaultKind aKind);

/** Returns the names of all faults. */
std::vector<std::string> FaultNames();

} // namespace skylarkchute
