#pragma once

#include <skylarkchute_routing/requests/RequestFacts.h>

#include <string>

namespace skylarkchute {

/** A caller's request, validated and ready to be routed. */
struct CallerRequest
{
  RequestFacts mFacts;
  std::string mMethod;
  /** Path and query to send to the endpoint. Requests for a plain service have the prefix
      `/services/NAME` removed. */
  std::string mEndpointPath;
  std::string mContentType;
  std::string mBody;
  std::string mSession; /**< Value of `Skylark-Session`: a token or a name chosen by the caller. */
  std::string mModel;   /**< Value of `model` in the body, possibly empty. */

  /** Returns whether the request goes to a model engine. */
  bool IsModelRequest() const { return !mFacts.mService.has_value(); }
};

} // namespace skylarkchute
