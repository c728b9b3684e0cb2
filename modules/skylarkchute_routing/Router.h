#pragma once

#include "requests/AttemptOutcome.h"
#include "requests/RequestFacts.h"
#include "requests/RouterOptions.h"
#include "requests/RouterStep.h"
#include "tables/EndpointRecord.h"
#include "tables/RouterCounters.h"
#include "tables/RouterReports.h"

#include <map>
#include <memory>

namespace skylarkchute {

/** Routes the requests of one instance.

    Free of I/O, threads and clocks: each call carries the time. One thread owns it. */
class Router
{
public:
  using Options = RouterOptions;

  explicit Router(Options aOptions);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /** Puts a bundle in force. Requests under way on a withdrawn version end with a refusal. */
  RouterSteps ApplyBundle(std::shared_ptr<const Bundle> aBundle, TimePoint aNow);

  /** Replaces the endpoint table, keeping what was learnt of those that stay. */
  void ApplyEndpoints(const std::vector<EndpointRecord>& aEndpoints, TimePoint aNow);

  /** Takes in a load report. */
  void ApplyLoad(const LoadReport& aReport, TimePoint aNow);

  /** Takes in the shares of the rolls in progress. A withdrawn roll stops its version at once. */
  void ApplyRolls(const std::vector<RollShare>& aShares, TimePoint aNow);

  /** Takes in an alert of a peer. */
  void ApplyAlert(const RoutingAlert& aAlert, TimePoint aNow);

  /** Takes in evidence gathered by other instances. */
  void ApplyFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow);

  /** Takes in this instance's shares of the fleet-wide limits. */
  void ApplyLimitShares(const std::vector<LimitShare>& aShares, TimePoint aNow);

  /** Returns the team that owns the key, or null. Compares in constant time. */
  const Team* Authenticate(const std::string& aApiKey) const;

  /** Returns whether the request may run at most once, by its own word, class or service. */
  bool IsNonIdempotent(const RequestFacts& aFacts) const;

  /** Admits a request and takes its first step. A dispatch step holds a slot of its endpoint
      until ReportOutcome or WithdrawAttempt. */
  RouterSteps Start(const RequestFacts& aFacts, TimePoint aNow);

  /** Gives back a dispatch step that was not carried out, and ends the request. */
  void WithdrawAttempt(const RequestId& aRequest, const AttemptId& aAttempt, TimePoint aNow);

  /** Chooses again for a request whose session turned out to be pinned to another version.
      The step given back before must not have been carried out. */
  RouterSteps Repin(const RequestId& aRequest, const VersionId& aVersion, TimePoint aNow);

  /** Reports the first token of an attempt. */
  void ReportFirstToken(const RequestId& aRequest, const AttemptId& aAttempt, TimePoint aNow);

  /** Reports the end of an attempt and takes the next step. */
  RouterSteps ReportOutcome(const RequestId& aRequest,
                            const AttemptId& aAttempt,
                            const AttemptOutcome& aOutcome,
                            TimePoint aNow);

  /** Reports a rating, 0 to 1, of an answer that was not held. */
  void ReportRating(const VersionId& aVersion,
                    const ClassName& aClass,
                    const TeamName& aTeam,
                    double aRating,
                    TimePoint aNow);

  /** Reports a rating, 0 to 1, of an answer that a RatingWish names as held. The caller must not
      see a held answer before its FinishStep; an escalation may replace it, or fall back to it.
      A rating that comes after RouterOptions::mRatingWait is dropped. */
  RouterSteps ReportHeldRating(const RequestId& aRequest,
                               const AttemptId& aAttempt,
                               double aRating,
                               TimePoint aNow);

  /** Drops a request whose caller left; returns cancel steps for its attempts. */
  RouterSteps CallerLeft(const RequestId& aRequest, TimePoint aNow);

  /** Drives deadlines, queues, hedges, breakers and windows. Call every 10 to 100 ms. */
  RouterSteps Tick(TimePoint aNow);

  /** Returns and empties what the router has to report. */
  RouterReports TakeReports(TimePoint aNow);

  /** Returns whether a dispatch step that waits to be carried out may still be carried out: its
      version is still allowed and its endpoint takes new work. Ask right before sending; when
      false, call WithdrawAttempt and answer `not-run`. */
  bool MayCarryOut(const RequestId& aRequest, const AttemptId& aAttempt) const;

  /** Returns the counters since start. */
  const RouterCounters& Counters() const;

  /** Returns the demand of each team over the last window. */
  std::vector<TeamDemand> Demand(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace skylarkchute
