#pragma once

#include <skylarkchute_routing/fleet/Fleet.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** A router with a manual clock and the service `svc`. Its routes are `/chat/`
   (stream with three model sizes, most urgent), `/note/` (the same, less
   urgent), `/order/` (non-idempotent) and
    `/check/` (idempotent). */
class FleetFixture
{
public:
  /** @param aZone  availability zone of the router
      @param aSeed  seed of the router
      @param aIsEngine  the endpoints are model engines */
  explicit FleetFixture(const std::string& aZone = "a",
                        std::uint64_t aSeed = 7,
                        bool aIsEngine = true);

  /** Adds endpoints `PREFIX0`, `PREFIX1`, ... with 64 slots each. Those with
     even numbers are in the availability zone `a`. */
  void AddEndpoints(const std::string& aPrefix, int aCount, const std::string& aVersion = "v1");

  /** Admits a request and requires success.
      @param aSubject  longest shared part of its prompt; may be empty */
  RequestPlan Admit(const std::string& aPath, const std::string& aSubject = {});

  /** Plans an attempt and requires that it is not refused. */
  AttemptPlan Attempt(RequestPlan& aPlan, bool aWantsLargest = false);

  /** Plans, sends and ends an attempt.
      @returns the attempt */
  AttemptPlan Run(RequestPlan& aPlan,
                  RelayOutcome aOutcome = RelayOutcome::Answered,
                  std::chrono::milliseconds aFirstByte = std::chrono::milliseconds(20));

  /** Orders a rollout of `svc`, or records a new state of it. */
  void OrderRollout(const std::string& aTarget,
                    std::chrono::milliseconds aPeriod,
                    RolloutState aState = RolloutState::Running);

  TimePoint mNow = TimePoint{} + std::chrono::hours(1);
  FleetRouter mRouter;
};

} // namespace skylarkchute
