#pragma once

#include "../requests/AttemptOutcome.h"
#include "../requests/RouterStep.h"

#include <string>

namespace skylarkchute {

/** Refusal reasons, as returned to callers and used in metrics. */
namespace refusal {

inline constexpr auto kInvalidKey = "invalid-key";
inline constexpr auto kUnknownClass = "unknown-class";
inline constexpr auto kServiceNotAllowed = "service-not-allowed";
inline constexpr auto kModelNotAllowed = "model-not-allowed";
inline constexpr auto kVersionNotAllowed = "version-not-allowed";
inline constexpr auto kVersionWithdrawn = "version-withdrawn";
inline constexpr auto kDeadlineTooShort = "deadline-too-short";
inline constexpr auto kTeamLimit = "team-limit";
inline constexpr auto kTeamConcurrency = "team-concurrency";
inline constexpr auto kOverloaded = "overloaded";
inline constexpr auto kQueueFull = "queue-full";
inline constexpr auto kNoEndpoint = "no-endpoint";
inline constexpr auto kQuarantined = "request-quarantined";
inline constexpr auto kEndpointRefused = "endpoint-refused";
inline constexpr auto kEndpointUnreachable = "endpoint-unreachable";
inline constexpr auto kEndpointError = "endpoint-error";
inline constexpr auto kAnswerBroken = "answer-broken";
inline constexpr auto kTimeout = "timeout";
inline constexpr auto kCancelled = "cancelled";

} // namespace refusal

/** Returns a refusal with the verdict `not-run`. */
inline RefuseStep NotRunRefusal(const RequestId& aRequest,
                                int aHttpStatus,
                                std::string aReason,
                                std::string aDetail,
                                std::chrono::milliseconds aRetryAfter = {})
{
  return { aRequest,           Verdict::NotRun,    aHttpStatus,
           std::move(aReason), std::move(aDetail), aRetryAfter };
}

/** Returns a refusal of a request whose fingerprint is quarantined. */
inline RefuseStep QuarantineRefusal(const RequestId& aRequest)
{
  return NotRunRefusal(
    aRequest, 422, refusal::kQuarantined, "Requests like this one crashed two endpoints.");
}

/** Returns a refusal of a request whose attempts failed.
    @param aEnd    how the last attempt ended
    @param aWorst  worst verdict of all attempts */
RefuseStep FailureRefusal(const RequestId& aRequest, AttemptEnd aEnd, Verdict aWorst);

} // namespace skylarkchute
