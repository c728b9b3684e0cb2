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
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kLingerBytes = 16 * 1024;
constexpr std::chrono::milliseconds kLingerTime{ 500 };
constexpr std::chrono::milliseconds kRetryAfter{ 1000 };
constexpr std::chrono::milliseconds kRegistrySlack{ 1000 };

Poco::Timespan ToTimespan(std::chrono::milliseconds aTime)
{
  return { std::chrono::duration_cast<std::chrono::microseconds>(aTime).count() };
}

Poco::Net::HTTPServerParams::Ptr MakeParams(const EntryOptions& aOptions)
{
  Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
  params->setTimeout(ToTimespan(aOptions.mReceiveTimeout));
  params->setKeepAliveTimeout(ToTimespan(aOptions.mKeepAliveTimeout));
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

ProblemReply Leaving()
{
  return { kServiceUnavailable,
           Verdict::NotRun,
           "leaving",
           "the instance is leaving; send the request to another one",
           kRetryAfter };
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
  , mParams(MakeParams(aContext.mOptions))
{
}

void EntryConnection::run()
{
  try {
    ServeRequests();
  } catch (const std::exception&) {
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
  stream.setReceiveTimeout(longestRead);
  while (session.hasMoreRequests()) {
    mEntry.BeginReading(mContext.mOptions.mReceiveTimeout);
    if (!ServeNext(session)) {
      break;
    }
    mEntry.BeginIdle();
  }
  Linger();
}

bool EntryConnection::ServeNext(Poco::Net::HTTPServerSession& aSession)
{
  Poco::Net::HTTPServerResponseImpl response(aSession);
  response.setDate(Poco::Timestamp());
  try {
    Poco::Net::HTTPServerRequestImpl request(response, aSession, mParams);
    if (const auto ended = WhyEnded()) {
      Refuse(response, *ended);
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
    Refuse(response, WhyEnded().value_or(BadHttp()));
  } catch (const Poco::TimeoutException&) {
    Refuse(response, SlowRequest());
  }
  return false;
}

std::optional<ProblemReply> EntryConnection::WhyEnded() const
{
  if (mEntry.IsExpired()) {
    return SlowRequest();
  }
  if (mEntry.IsDrained()) {
    return Leaving();
  }
  return std::nullopt;
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
