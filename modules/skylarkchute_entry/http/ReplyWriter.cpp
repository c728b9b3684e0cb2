#include "ReplyWriter.h"

#include <Poco/Exception.h>

namespace skylarkchute {

namespace {

void SetText(Poco::Net::HTTPServerResponse& aResponse, const char* aName, const std::string& aValue)
{
  if (!aValue.empty()) {
    aResponse.set(aName, aValue);
  }
}

void SetStatus(Poco::Net::HTTPServerResponse& aResponse, int aStatus)
{
  aResponse.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
}

} // namespace

ReplyWriter::ReplyWriter(Poco::Net::HTTPServerResponse& aResponse,
                         RequestId aRequest,
                         bool aHeadOnly)
  : mResponse(aResponse)
  , mRequest(std::move(aRequest))
  , mHeadOnly(aHeadOnly)
{
}

bool ReplyWriter::WriteProblem(const ProblemReply& aProblem)
{
  const auto document = aProblem.Json(mRequest);
  if (mStream != nullptr) {
    return Write("event: error\ndata: " + document + "\n\n");
  }
  SetStatus(mResponse, aProblem.mHttpStatus);
  mResponse.setContentType("application/problem+json");
  mResponse.set("Skylark-Verdict", std::string(VerdictName(aProblem.mVerdict)));
  SetText(mResponse, "Skylark-Request-Id", mRequest.Value());
  if (aProblem.mRetryAfter.count() > 0) {
    mResponse.set("Retry-After", aProblem.RetryAfterSeconds());
  }
  return SendWhole(document);
}

bool ReplyWriter::WriteBody(const AnswerHead& aHead, const std::string& aBody)
{
  SetHead(aHead);
  mResponse.setContentType(aHead.mContentType);
  return SendWhole(aBody);
}

bool ReplyWriter::WriteEvent(const AnswerHead& aHead,
                             std::uint64_t aNumber,
                             const std::string& aData)
{
  return BeginStream(aHead) &&
         Write("id: " + std::to_string(aNumber) + "\ndata: " + aData + "\n\n");
}

bool ReplyWriter::WriteStreamEnd(const AnswerHead& aHead)
{
  return BeginStream(aHead) && Write("data: [DONE]\n\n");
}

void ReplyWriter::SetHead(const AnswerHead& aHead)
{
  SetStatus(mResponse, aHead.mHttpStatus);
  mResponse.set("Skylark-Verdict", std::string(VerdictName(aHead.mVerdict)));
  SetText(mResponse, "Skylark-Request-Id", mRequest.Value());
  SetText(mResponse, "Skylark-Model", aHead.mModel.Value());
  SetText(mResponse, "Skylark-Version", aHead.mVersion.Value());
  SetText(mResponse, "Skylark-Session", aHead.mSession);
}

bool ReplyWriter::BeginStream(const AnswerHead& aHead)
{
  if (mStream != nullptr) {
    return true;
  }
  SetHead(aHead);
  mResponse.setContentType("text/event-stream");
  mResponse.set("Cache-Control", "no-cache");
  mResponse.setChunkedTransferEncoding(true);
  return Open();
}

bool ReplyWriter::Open()
{
  try {
    mStream = &mResponse.send();
  } catch (const Poco::Exception&) {
    return false;
  }
  return mStream->good();
}

bool ReplyWriter::SendWhole(const std::string& aBody)
{
  const auto status = mResponse.getStatus();
  const bool hasNoBody = mHeadOnly || status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
                         status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
  if (status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT) {
    mResponse.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  }
  return Open() && Write(hasNoBody ? "" : aBody);
}

bool ReplyWriter::Write(const std::string& aText)
{
  try {
    *mStream << aText << std::flush;
  } catch (const Poco::Exception&) {
    return false;
  }
  return mStream->good();
}

} // namespace skylarkchute
