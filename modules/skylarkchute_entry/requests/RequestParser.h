#pragma once

#include "../problems/ProblemReply.h"
#include "CallerRequest.h"

#include <variant>

namespace skylarkchute {

/** The header fields of a caller that matter to the router; empty when absent. */
struct CallerHeaders
{
  std::string mAuthorization;
  std::string mIdempotencyKey;
  std::string mIdempotent;
  std::string mSession;
  std::string mClass;
  std::string mTimeoutMs;
  std::string mContentType;
};

/** A request as it came over HTTP. */
struct RawRequest
{
  std::string mMethod;
  std::string mUri; /**< Path and query. */
  CallerHeaders mHeaders;
  std::string mBody;
};

/** A checked request, or why it is refused. */
using ParsedRequest = std::variant<CallerRequest, ProblemReply>;

/** Checks the form of requests and gathers the facts that routing needs. Knows no bundle. */
class RequestParser
{
public:
  struct Options
  {
    std::chrono::milliseconds mDefaultTimeout{ 60'000 };
    std::chrono::milliseconds mMaxTimeout{ 600'000 };
  };

  explicit RequestParser(Options aOptions);

  /** Parses `POST /v1/chat/completions`. */
  ParsedRequest ParseChat(RawRequest aRaw, const RequestId& aId, TimePoint aNow) const;

  /** Parses a request below `/services/NAME/`. */
  ParsedRequest ParseService(RawRequest aRaw, const RequestId& aId, TimePoint aNow) const;

  /** Returns the key of `Authorization: Bearer KEY`, empty when there is none. */
  static std::string BearerKey(const std::string& aAuthorization);

private:
  std::variant<RequestFacts, ProblemReply> ParseHeaders(const CallerHeaders& aHeaders,
                                                        const RequestId& aId,
                                                        TimePoint aNow) const;

  Options mOptions;
};

} // namespace skylarkchute
