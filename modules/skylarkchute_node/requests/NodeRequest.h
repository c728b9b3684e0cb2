#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <string>

namespace skylarkchute {

/** A caller's request as the node gets it. */
struct NodeRequest
{
  RequestFacts mFacts;
  std::string mSessionText; /**< Of `Skylark-Session`: a token or the caller's own name. */
};

/** What an endpoint answered, as far as a resend of the request needs it. */
struct AnswerContent
{
  int mHttpStatus = 0;
  std::string mContentType;
  std::string mBody; /**< Empty for streams. */
};

} // namespace skylarkchute
