#include "EntryConnection.h"

#include "PeerState.h"

#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/Timestamp.h>

#include <array>

namespace skylarkchute {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr std::size_t kLingerBytes = 16 * 1024;
constexpr std::chrono::milliseconds kLingerTime{ 500 };
constexpr std::chrono::milliseconds kIdleLook{ 50 };
constexpr std::chrono::milliseconds kRegistrySlack{ 1000 };

Poco::Timespan ToTimespan(std::chrono::milliseconds aTime)
{
  return { std::chrono::duration_cast<std::chrono::microseconds>(aTime).count() };
}

Poco::Net::HTTPServerParams::Ptr MakeParams()
{
  Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
  // These bound one look for the next request; WaitForRequest repeats it.
  params->setTimeout(ToTimespan(kIdleLook));
  params->setKeepAliveTimeout(ToTimespan(kIdleLook));
  params->setKeepAlive(true);
  return params;
}

ProblemReply SlowRequest()
{
  return { kRequestTimeout,
           Verdict::NotRun,
           "slow-request",
           "the request took too long to arrive",
           std::chrono::milliseconds(0) };
}

ProblemReply BadHttp()
{
  return { kBadRequest,
           Verdict::NotRun,
           "bad-http",
           "the request is not well-formed HTTP",
           std::chrono::milliseconds(0) };
}

} // namespace

EntryConnection::EntryConnection(const Poco::Net::StreamSocket& aSocket,
                                 EntryContext aContext,
                                 ConnectionRegistry& aRegistry,
                                 TlsIdentity* aTls)
  : Poco::Net::TCPServerConnection(aSocket)
  , mContext(aContext)
  , mRegistry(aRegistry)
  , mTls(aTls)
  , mEntry(aRegistry, aSocket)
  , mParams(MakeParams())
{
}

void EntryConnection::run()
{
  try {
    ServeRequests();
  } catch (const Poco::Exception&) {
    // The caller has left or does not speak the protocol; nobody is there to be told.
  }
}

void EntryConnection::ServeRequests()
{
  socket().setNoDelay(true);
  // The registry ends a slow request first; then it is still possible to answer.
  const auto longestRead = ToTimespan(mContext.mOptions.mReceiveTimeout + kRegistrySlack);
  socket().setReceiveTimeout(longestRead);
  socket().setSendTimeout(ToTimespan(mContext.mOptions.mSendTimeout));
  auto stream = socket();
  if (mTls != nullptr) {
    mEntry.BeginReading(mContext.mOptions.mReceiveTimeout);
    stream = Poco::Net::SecureStreamSocket::attach(socket(), mTls->Current());
  }
  mEntry.BeginIdle();
  Poco::Net::HTTPServerSession session(stream, mParams);
  session.setKeepAlive(true);
  stream.setReceiveTimeout(longestRead);
  while (WaitForRequest(session)) {
    mEntry.BeginReading(mContext.mOptions.mReceiveTimeout);
    if (!ServeNext(session)) {
      break;
    }
    mEntry.BeginIdle();
  }
  Linger();
}

bool EntryConnection::WaitForRequest(Poco::Net::HTTPServerSession& aSession)
{
  const auto start = mClock.Now();
  bool lastLook = false;
  while (!lastLook && aSession.getKeepAlive()) {
    lastLook =
      mRegistry.IsDraining() || mClock.Now() - start >= mContext.mOptions.mKeepAliveTimeout;
    if (aSession.hasMoreRequests()) {
      return true;
    }
  }
  return false;
}

bool EntryConnection::ServeNext(Poco::Net::HTTPServerSession& aSession)
{
  Poco::Net::HTTPServerResponseImpl response(aSession);
  response.setDate(Poco::Timestamp());
  try {
    Poco::Net::HTTPServerRequestImpl request(response, aSession, mParams);
    if (mEntry.IsExpired()) {
      Refuse(response, SlowRequest());
      return false;
    }
    // A header block that the caller cut off reads like a whole one.
    if (IsClosedByPeer(socket())) {
      return false;
    }
    if (request.getVersion() != "HTTP/1.1" && request.getVersion() != "HTTP/1.0") {
      Refuse(response, BadHttp());
      return false;
    }
    response.setVersion(request.getVersion());
    response.setKeepAlive(request.getKeepAlive() && aSession.canKeepAlive() &&
                          !mRegistry.IsDraining());
    RouteHandler handler(mContext, mEntry, request, response);
    const bool goesOn = handler.Serve();
    aSession.setKeepAlive(goesOn);
    return goesOn;
  } catch (const Poco::Net::NoMessageException&) {
    if (mEntry.IsExpired()) {
      Refuse(response, SlowRequest());
    }
  } catch (const Poco::Net::MessageException&) {
    Refuse(response, mEntry.IsExpired() ? SlowRequest() : BadHttp());
  } catch (const Poco::TimeoutException&) {
    Refuse(response, SlowRequest());
  }
  return false;
}

void EntryConnection::Linger()
{
  // Closing with unread bytes would reset the connection and could destroy the answer.
  mEntry.BeginReading(kLingerTime);
  std::array<char, kLingerBytes> buf{};
  socket().setReceiveTimeout(ToTimespan(kLingerTime));
  socket().shutdownSend();
  while (socket().receiveBytes(buf.data(), static_cast<int>(buf.size())) > 0) {
  }
}

void EntryConnection::Refuse(Poco::Net::HTTPServerResponse& aResponse, const ProblemReply& aProblem)
{
  if (aResponse.sent()) {
    return;
  }
  aResponse.setVersion("HTTP/1.1");
  aResponse.setKeepAlive(false);
  ReplyWriter(aResponse, RequestId(), false).WriteProblem(aProblem);
}

} // namespace skylarkchute
