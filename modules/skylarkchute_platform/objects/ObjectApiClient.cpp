#include "ObjectApiClient.h"

#include "ObjectHttp.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <exception>

namespace skylarkchute {

namespace {

Poco::Timespan ToTimespan(std::chrono::milliseconds aDuration)
{
  return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

/** Returns whether a body was read to its end. One without a length and chunks is not trusted: the
    connection may have been cut. After the last chunk a kept connection is open and silent. */
bool IsComplete(Poco::Net::HTTPClientSession& aSession,
                const Poco::Net::HTTPResponse& aResponse,
                std::size_t aBodyBytes)
{
  if (aSession.networkException() != nullptr) {
    return false;
  }
  if (aResponse.hasContentLength()) {
    return static_cast<std::uint64_t>(aResponse.getContentLength64()) == aBodyBytes;
  }
  return aResponse.getChunkedTransferEncoding() &&
         !aSession.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

ObjectReply FailedReply(const ObjectCall& aCall, ObjectStatus aStatus)
{
  ObjectReply reply;
  reply.mId = aCall.mId;
  reply.mStatus = aStatus;
  return reply;
}

} // namespace

ObjectApiClient::ObjectApiClient(std::string aAddress, std::uint16_t aPort)
  : mAddress(std::move(aAddress))
  , mPort(aPort)
{
}

ObjectApiClient::~ObjectApiClient() = default;

ObjectReply ObjectApiClient::Call(const ObjectCall& aCall)
{
  bool sent = false;
  try {
    auto http = ToHttp(aCall);
    auto session = AcquireSession();
    const auto timeout = ToTimespan(aCall.mTimeout + http.mWait);
    session->setTimeout(ToTimespan(aCall.mTimeout), timeout, timeout);
    sent = true;
    session->sendRequest(http.mRequest) << http.mBody;
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session->receiveResponse(response), body);
    if (!IsComplete(*session, response, body.size())) {
      return FailedReply(
        aCall, IsWrite(aCall.mOperation) ? ObjectStatus::Unknown : ObjectStatus::Unavailable);
    }
    ReleaseSession(std::move(session));
    return FromHttp(aCall, response, body);
  } catch (const Poco::Net::ConnectionRefusedException&) {
    return FailedReply(aCall, ObjectStatus::Unavailable);
  } catch (const std::exception&) {
    const bool mayHaveWritten = sent && IsWrite(aCall.mOperation);
    return FailedReply(aCall, mayHaveWritten ? ObjectStatus::Unknown : ObjectStatus::Unavailable);
  }
}

std::unique_ptr<ObjectApiClient::Session> ObjectApiClient::AcquireSession()
{
  {
    const std::lock_guard lock(mMutex);
    if (!mIdle.empty()) {
      auto session = std::move(mIdle.back());
      mIdle.pop_back();
      return session;
    }
  }
  auto session = std::make_unique<Session>(mAddress, mPort);
  session->setKeepAlive(true);
  return session;
}

void ObjectApiClient::ReleaseSession(std::unique_ptr<Session> aSession)
{
  const std::lock_guard lock(mMutex);
  if (mIdle.size() < kMaxIdleSessions) {
    mIdle.push_back(std::move(aSession));
  }
}

} // namespace skylarkchute
