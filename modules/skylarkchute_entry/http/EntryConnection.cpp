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
constexpr std::size_t kLingerBufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds kLingerTimeout{ 500 };
constexpr std::chrono::milliseconds kRetryAfter{ 1000 };
constexpr std::chrono::milliseconds kSocketTimeoutMargin{ 1000 };

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

ProblemReply SlowRequestProblem()
{
  return { kRequestTimeout,
           Verdict::NotRun,
           "slow-request",
           "the request took too long to arrive",
           std::chrono::milliseconds(0) };
}

ProblemReply LeavingProblem()
{
  return { kServiceUnavailable,
           Verdict::NotRun,
           "leaving",
           "the instance is leaving; send the request to another one",
           kRetryAfter };
}

ProblemReply BadHttpProblem()
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
                                 TlsContextProvider* aTls)
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
    // The caller has disconnected or violated the protocol, so no response can be sent.
  }
}

void EntryConnection::ServeRequests()
{
  socket().setNoDelay(true);
  // Longer than the registry's deadline, so that the registry ends a slow request first and a
  // response can still be sent.
  const auto socketTimeout = ToTimespan(mContext.mOptions.mReceiveTimeout + kSocketTimeoutMargin);
  socket().setReceiveTimeout(socketTimeout);
  socket().setSendTimeout(ToTimespan(mContext.mOptions.mSendTimeout));
  auto stream = socket();
  if (mTls != nullptr) {
    mEntry.BeginReading(mContext.mOptions.mReceiveTimeout);
    stream = Poco::Net::SecureStreamSocket::attach(socket(), mTls->Current());
  }
  mEntry.BeginIdle();
  Poco::Net::HTTPServerSession session(stream, mParams);
  stream.setReceiveTimeout(socketTimeout);
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
    if (const auto ended = ProblemIfEnded()) {
      Refuse(response, *ended);
      return false;
    }
    // Poco parses a header block that a disconnect cut short as if it were complete.
    if (IsClosedByPeer(socket())) {
      return false;
    }
    if (request.getVersion() != "HTTP/1.1" && request.getVersion() != "HTTP/1.0") {
      Refuse(response, BadHttpProblem());
      return false;
    }
    response.setVersion(request.getVersion());
    response.setKeepAlive(request.getKeepAlive() && aSession.canKeepAlive() &&
                          !mRegistry.IsDraining());
    RouteHandler handler(mContext, mEntry, request, response);
    const bool keepAlive = handler.Serve();
    aSession.setKeepAlive(keepAlive);
    return keepAlive;
  } catch (const Poco::Net::NoMessageException&) {
    if (mEntry.IsExpired()) {
      Refuse(response, SlowRequestProblem());
    }
  } catch (const Poco::Net::MessageException&) {
    Refuse(response, ProblemIfEnded().value_or(BadHttpProblem()));
  } catch (const Poco::TimeoutException&) {
    Refuse(response, SlowRequestProblem());
  }
  return false;
}

std::optional<ProblemReply> EntryConnection::ProblemIfEnded() const
{
  if (mEntry.IsExpired()) {
    return SlowRequestProblem();
  }
  if (mEntry.IsDrained()) {
    return LeavingProblem();
  }
  return std::nullopt;
}

void EntryConnection::Linger()
{
  // Closing a socket with unread bytes resets the connection, and the caller could lose the answer.
  mEntry.BeginReading(kLingerTimeout);
  std::array<char, kLingerBufferBytes> buf{};
  socket().setReceiveTimeout(ToTimespan(kLingerTimeout));
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
