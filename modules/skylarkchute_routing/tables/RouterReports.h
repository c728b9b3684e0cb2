#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <vector>

namespace skylarkchute {

/** A request to have an answer rated by the rating service. */
struct RatingCandidate
{
  RequestId mRequest;
  AttemptId mAttempt;
  VersionId mVersion;
  bool mHeld = false; /**< The answer is held; report its rating to Router::ReportHeldRating. */
};

/** Output of a router other than steps. Reading it from the router clears it. */
struct RouterReports
{
  std::vector<VersionEvidence> mEvidence;
  std::vector<RoutingAlert> mAlerts;
  std::vector<RatingCandidate> mRatingCandidates;
  std::vector<LogEvent> mEvents;
};

} // namespace skylarkchute
