#pragma once

#include <skylarkchute_routing/fleet/Fleet.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** A router with a manual clock, endpoints of service `svc` and routes `/chat/` (stream on three
    model sizes, most urgent), `/note/` (the same, less urgent), `/order/` (non-idempotent) and
    `/check/` (idempotent). */
class FleetFixture
{
public:
  FleetFixture();

  /** Adds endpoints `PREFIX0`, `PREFIX1`, ... of a version. */
  void AddEndpoints(const std::string& aPrefix, int aCount, const std::string& aVersion = "v1");

  /** Admits a request. @param aSubject  longest shared part of its prompt; may be empty */
  RequestPlan Admit(const std::string& aPath, const std::string& aSubject = {});

  /** Plans an attempt that has to be made. */
  AttemptPlan Attempt(RequestPlan& aPlan, bool aAsksLarger = false);

  /** Plans, sends and ends an attempt. @returns it */
  AttemptPlan Run(RequestPlan& aPlan,
                  RelayOutcome aOutcome = RelayOutcome::Answered,
                  std::chrono::milliseconds aFirstByte = std::chrono::milliseconds(20));

  /** Orders a rollout of `svc`. */
  void Order(const std::string& aTarget,
             std::chrono::milliseconds aPeriod,
             RolloutState aState = RolloutState::Running);

  TimePoint mNow = TimePoint{} + std::chrono::hours(1);
  FleetRouter mRouter;
};

} // namespace skylarkchute
