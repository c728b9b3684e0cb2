#pragma once

#include "../problems/ProblemReply.h"
#include "../sessions/AnswerHead.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>

namespace skylarkchute {

/** Writes one HTTP response to a caller.

    The methods return false when the write failed because the caller has disconnected. */
class ReplyWriter
{
public:
  /** @param aRequest   sent as `Skylark-Request-Id`; may be empty
      @param aHeadOnly  the request's method is HEAD, so only headers are sent */
  ReplyWriter(Poco::Net::HTTPServerResponse& aResponse, RequestId aRequest, bool aHeadOnly);

  /** Writes a problem document, or an error event if a stream has begun. */
  bool WriteProblem(const ProblemReply& aProblem);

  /** Writes a complete answer that is not streamed. */
  bool WriteBody(const AnswerHead& aHead, const std::string& aBody);

  /** Writes one event of a stream, preceded by the headers if it is the first. */
  bool WriteEvent(const AnswerHead& aHead, std::uint64_t aNumber, const std::string& aData);

  /** Writes the `[DONE]` terminator of a stream. */
  bool WriteStreamEnd(const AnswerHead& aHead);

private:
  void SetHead(const AnswerHead& aHead);
  bool BeginStream(const AnswerHead& aHead);
  bool SendWhole(const std::string& aBody);
  bool Open();
  bool Write(const std::string& aText);

  Poco::Net::HTTPServerResponse& mResponse;
  RequestId mRequest;
  bool mHeadOnly;
  std::ostream* mStream = nullptr;
};

} // namespace skylarkchute
