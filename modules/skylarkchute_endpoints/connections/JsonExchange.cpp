#include "JsonExchange.h"

#include "EndpointConnection.h"

#include <Poco/Exception.h>

namespace skylarkchute {

namespace {

constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
constexpr int kFirstError = 300;
constexpr int kFirstSuccess = 200;

class Countdown
{
public:
  explicit Countdown(std::chrono::milliseconds aTime) : mEnd(mClock.Now() + aTime) {}

  std::chrono::milliseconds Left() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(mEnd - mClock.Now());
  }

private:
  SystemClock mClock;
  TimePoint mEnd;
};

bool ReadWhole(EndpointConnection& aConnection, const Countdown& aCountdown, std::string& aBody)
{
  while (aCountdown.Left().count() > 0 && aBody.size() <= kMaxBodyBytes) {
    const auto end = aConnection.ReadSome(aBody, aCountdown.Left());
    if (end != ReadEnd::Data) {
      return end == ReadEnd::Whole;
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
  const Countdown countdown(aRequest.mTimeout);
  EndpointConnection connection(aRequest.mAddress, aRequest.mPort);
  try {
    connection.Connect(countdown.Left());
    reply.mVerdict = Verdict::MayHaveRun;
    Poco::Net::HTTPRequest request(aRequest.mMethod, aRequest.mPath, "HTTP/1.1");
    request.setContentType("application/json");
    connection.Send(request, aRequest.mBody, countdown.Left());
    connection.ReceiveHead(countdown.Left());
    if (ReadWhole(connection, countdown, reply.mBody)) {
      reply.mVerdict = Verdict::Ran;
      reply.mHttpStatus = connection.Head().getStatus();
    }
  } catch (const Poco::Exception&) {
    // The verdict says how far the exchange came.
  }
  return reply;
}

} // namespace skylarkchute
