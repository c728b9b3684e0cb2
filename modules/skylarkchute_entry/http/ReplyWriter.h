#pragma once

#include "../problems/ProblemReply.h"
#include "../sessions/AnswerHead.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>

namespace skylarkchute {

/** Writes one response to a caller.

    Every method returns whether the caller could take the bytes; after false it has left. */
class ReplyWriter
{
public:
  /** @param aRequest   shown as `Skylark-Request-Id`; may be empty
      @param aHeadOnly  the request's method is HEAD, so only headers are sent */
  ReplyWriter(Poco::Net::HTTPServerResponse& aResponse, RequestId aRequest, bool aHeadOnly);

  /** Writes a problem document, or an error event when a stream has begun. */
  bool WriteProblem(const ProblemReply& aProblem);

  /** Writes a whole answer. */
  bool WriteBody(const AnswerHead& aHead, const std::string& aBody);

  /** Writes one event of a stream; the first one sends the headers. */
  bool WriteEvent(const AnswerHead& aHead, std::uint64_t aNumber, const std::string& aData);

  /** Writes the terminator of a stream. */
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
