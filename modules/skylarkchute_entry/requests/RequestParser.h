#pragma once

#include "../problems/ProblemReply.h"
#include "CallerRequest.h"

#include <variant>

namespace skylarkchute {

/** The values of the request headers that the router uses; empty when absent. */
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

/** An HTTP request before validation. */
struct RawRequest
{
  std::string mMethod;
  std::string mUri; /**< Path and query. */
  CallerHeaders mHeaders;
  std::string mBody;
};

/** A valid request, or the problem that it is refused with. */
using ParsedRequest = std::variant<CallerRequest, ProblemReply>;

/** Validates the syntax of requests and extracts the data that routing needs. Does not check them
    against a bundle. */
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

  /** Returns the key of `Authorization: Bearer KEY`; empty when it is absent or malformed. */
  static std::string BearerKey(const std::string& aAuthorization);

private:
  std::variant<RequestFacts, ProblemReply> ParseHeaders(const CallerHeaders& aHeaders,
                                                        const RequestId& aId,
                                                        TimePoint aNow) const;

  Options mOptions;
};

} // namespace skylarkchute
