#pragma once

#include "../callers/ControlServer.h"

#include <json/json.h>
#include <skylarkchute_routing/fleet/Fleet.h>

namespace skylarkchute {

/** Maximum size of the body of `POST /explain`. */
inline constexpr std::uint32_t kMaxExplainBytes = 64 * 1024;

/** The state from which one relay explains where it would send a request. */
struct RouteExplanationSource
{
  const MemberRecord& mSelf;
  const FleetRouter& mRouter;
  bool mIsStarting = false; /**< It holds requests until it knows the platform's state. */
  bool mRefusesNew = false; /**< @see RelayContext::mRefusesNew */
};

/** Returns the JSON form of an explanation. Times are in milliseconds. */
Json::Value RouteExplanationToJson(const RouteExplanation& aExplanation, TimePoint aNow);

/** Answers `POST /explain`. The body is a JSON object that describes a caller's request: `host`,
    `path`, and if they are to be sent `method`, `key`, `model`, `tokens`, `prefix` (texts) and
    `deadline_ms` (number). Unknown members are ignored. Status 200 whatever the decision is, 400
   for a body that is not valid, 405 for other methods. */
ControlResponse AnswerRouteExplanation(const RouteExplanationSource& aSource,
                                       const ControlRequest& aRequest,
                                       TimePoint aNow);

} // namespace skylarkchute
