#pragma once

#include <skylarkchute_routing/requests/RequestFacts.h>

#include <string>

namespace skylarkchute {

/** One request of a caller, checked and ready to be routed. */
struct CallerRequest
{
  RequestFacts mFacts;
  std::string mMethod;
  /** Path and query to send to the endpoint; for a plain service without `/services/NAME`. */
  std::string mEndpointPath;
  std::string mContentType;
  std::string mBody;
  std::string mSession; /**< Text of `Skylark-Session`: a token or the caller's own name. */
  std::string mModel;   /**< Text of the body's `model`, possibly empty. */

  /** Returns whether the request goes to a model engine. */
  bool IsModelRequest() const { return !mFacts.mService.has_value(); }
};

} // namespace skylarkchute
