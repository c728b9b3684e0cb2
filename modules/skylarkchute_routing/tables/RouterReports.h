#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <vector>

namespace skylarkchute {

/** An answer that the rating service should rate. */
struct RatingWish
{
  RequestId mRequest;
  AttemptId mAttempt;
  VersionId mVersion;
  bool mHeld = false; /**< The answer waits for this rating; tell Router::ReportHeldRating. */
};

/** What a router has to tell its node besides steps; emptied by the read. */
struct RouterReports
{
  std::vector<VersionEvidence> mEvidence;
  std::vector<RoutingAlert> mAlerts;
  std::vector<RatingWish> mRatingWishes;
  std::vector<LogEvent> mEvents;
};

} // namespace skylarkchute
