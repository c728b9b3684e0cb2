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

/** Makes the routing decisions for the requests of one instance.

    Does no I/O, starts no threads and reads no clock: the caller passes the current time. Not
    thread-safe; use it from one thread. */
class Router
{
public:
  using Options = RouterOptions;

  explicit Router(Options aOptions);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /** Puts a bundle in force. Waiting requests whose version is withdrawn are moved to another
      version, or refused when they are pinned to it or named it; attempts already sent continue. */
  RouterSteps ApplyBundle(std::shared_ptr<const Bundle> aBundle, TimePoint aNow);

  /** Replaces the list of endpoints. The state of endpoints that remain in the list is kept. */
  void ApplyEndpoints(const std::vector<EndpointRecord>& aEndpoints, TimePoint aNow);

  /** Applies a load report of an endpoint. */
  void ApplyLoad(const LoadReport& aReport, TimePoint aNow);

  /** Applies the traffic shares of the rolls in progress. A withdrawn roll stops its new version
      immediately. */
  void ApplyRolls(const std::vector<RollShare>& aShares, TimePoint aNow);

  /** Applies an alert of a peer: a stopped version or a suspect fingerprint. */
  void ApplyAlert(const RoutingAlert& aAlert, TimePoint aNow);

  /** Adds the evidence collected by other instances. */
  void ApplyFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow);

  /** Applies this instance's shares of the fleet-wide limits. */
  void ApplyLimitShares(const std::vector<LimitShare>& aShares, TimePoint aNow);

  /** Returns the team that owns the key, or null. Compares in constant time. */
  const Team* Authenticate(const std::string& aApiKey) const;

  /** Returns whether the request may run at most once, as declared by the request itself, its
      class or its service. */
  bool IsNonIdempotent(const RequestFacts& aFacts) const;

  /** Admits a request and returns its first steps. A dispatch step occupies a slot of its endpoint
      until ReportOutcome or WithdrawAttempt.
      @param aFacts  the request; its id must not be in use */
  RouterSteps Start(const RequestFacts& aFacts, TimePoint aNow);

  /** Releases the slot of a dispatch step that was not carried out, and ends the request. */
  void WithdrawAttempt(const RequestId& aRequest, const AttemptId& aAttempt, TimePoint aNow);

  /** Dispatches a request again whose session turned out to be pinned to another version. The
      dispatch step returned before must not have been carried out. */
  RouterSteps Repin(const RequestId& aRequest, const VersionId& aVersion, TimePoint aNow);

  /** Reports the first token of an attempt. */
  void ReportFirstToken(const RequestId& aRequest, const AttemptId& aAttempt, TimePoint aNow);

  /** Reports the end of an attempt and returns the next steps. */
  RouterSteps ReportOutcome(const RequestId& aRequest,
                            const AttemptId& aAttempt,
                            const AttemptOutcome& aOutcome,
                            TimePoint aNow);

  /** Reports a rating, 0 to 1, of a response that was not held. */
  void ReportRating(const VersionId& aVersion,
                    const ClassName& aClass,
                    const TeamName& aTeam,
                    double aRating,
                    TimePoint aNow);

  /** Reports a rating, 0 to 1, of a response that is marked as held in its RatingCandidate. A held
      response must not be sent to the caller before its FinishStep: an escalation may replace it.
      It is served when the escalation fails. A rating that arrives after RouterOptions::mRatingWait
      is ignored. */
  RouterSteps ReportHeldRating(const RequestId& aRequest,
                               const AttemptId& aAttempt,
                               double aRating,
                               TimePoint aNow);

  /** Ends a request whose caller disconnected; returns cancel steps for its attempts. */
  RouterSteps OnCallerDisconnected(const RequestId& aRequest, TimePoint aNow);

  /** Performs the work that is due: deadlines, retries, held responses, queues, hedges, shedding
      and demand windows. Call every 10 to 100 ms. */
  RouterSteps Tick(TimePoint aNow);

  /** Returns the reports since the last call and clears them. */
  RouterReports TakeReports(TimePoint aNow);

  /** Returns whether a pending dispatch step may still be carried out: its version is still allowed
      and its endpoint accepts new work. Call this immediately before sending the request; when
      false, call WithdrawAttempt and respond with the verdict `not-run`. */
  bool MayDispatch(const RequestId& aRequest, const AttemptId& aAttempt) const;

  /** Returns the counters since start. */
  const RouterCounters& Counters() const;

  /** Returns the result of this instance's health checks for each roll of the bundle in force. */
  std::vector<RollVerdict> RollVerdicts() const;

  /** Returns the demand of each team over its last window, in requests and tokens per second. */
  std::vector<TeamDemand> Demand(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace skylarkchute
