#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <string>

namespace skylarkchute {

/** A caller's request as passed to Node::OnRequest. */
struct NodeRequest
{
  RequestFacts mFacts;
  /** Value of `Skylark-Session`: a session token or a session name chosen by the caller. */
  std::string mSessionText;
};

/** The parts of an endpoint's answer that are stored to answer a resend of the request. */
struct AnswerContent
{
  int mHttpStatus = 0;
  std::string mContentType;
  std::string mBody; /**< Empty for streams. */
};

} // namespace skylarkchute
