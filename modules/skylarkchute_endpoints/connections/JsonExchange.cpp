#include "JsonExchange.h"

#include "EndpointConnection.h"

#include <Poco/Exception.h>

namespace skylarkchute {

namespace {

constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
constexpr int kFirstError = 300;
constexpr int kFirstSuccess = 200;

class ExchangeDeadline
{
public:
  explicit ExchangeDeadline(std::chrono::milliseconds aTime) : mEnd(mClock.Now() + aTime) {}

  std::chrono::milliseconds Remaining() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(mEnd - mClock.Now());
  }

private:
  SystemClock mClock;
  TimePoint mEnd;
};

bool ReadFullBody(EndpointConnection& aConnection,
                  const ExchangeDeadline& aDeadline,
                  std::string& aBody)
{
  while (aDeadline.Remaining().count() > 0 && aBody.size() <= kMaxBodyBytes) {
    const auto status = aConnection.ReadSome(aBody, aDeadline.Remaining());
    if (status != ReadStatus::Data) {
      return status == ReadStatus::Complete;
    }
  }
  return false;
}

} // namespace

bool JsonExchangeReply::IsOk() const
{
  return mVerdict == Verdict::Ran && mHttpStatus >= kFirstSuccess && mHttpStatus < kFirstError;
}

JsonExchangeReply ExchangeJson(const JsonExchangeRequest& aRequest)
{
  JsonExchangeReply reply;
  const ExchangeDeadline deadline(aRequest.mTimeout);
  EndpointConnection connection(aRequest.mAddress, aRequest.mPort);
  try {
    connection.Connect(deadline.Remaining());
    reply.mVerdict = Verdict::MayHaveRun;
    Poco::Net::HTTPRequest request(aRequest.mMethod, aRequest.mPath, "HTTP/1.1");
    request.setContentType("application/json");
    connection.Send(request, aRequest.mBody, deadline.Remaining());
    connection.ReceiveHead(deadline.Remaining());
    if (ReadFullBody(connection, deadline, reply.mBody)) {
      reply.mVerdict = Verdict::Ran;
      reply.mHttpStatus = connection.Head().getStatus();
    }
  } catch (const Poco::Exception&) {
    // The verdict reports whether the request may have been sent.
  }
  return reply;
}

} // namespace skylarkchute
