#include "EntryConnection.h"

#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/Timestamp.h>

namespace skylarkchute {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;

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
  } catch (const Poco::Exception&) {
    // The caller has left or does not speak the protocol; nobody is there to be told.
  }
}

void EntryConnection::ServeRequests()
{
  socket().setNoDelay(true);
  socket().setReceiveTimeout(ToTimespan(mContext.mOptions.mReceiveTimeout));
  socket().setSendTimeout(ToTimespan(mContext.mOptions.mSendTimeout));
  auto stream = socket();
  if (mTls != nullptr) {
    mEntry.BeginReading(mContext.mOptions.mReceiveTimeout);
    stream = Poco::Net::SecureStreamSocket::attach(socket(), mTls->Current());
  }
  mEntry.BeginIdle();
  Poco::Net::HTTPServerSession session(stream, mParams);
  while (session.hasMoreRequests()) {
    mEntry.BeginReading(mContext.mOptions.mReceiveTimeout);
    if (!ServeNext(session)) {
      break;
    }
    mEntry.BeginIdle();
  }
}

bool EntryConnection::ServeNext(Poco::Net::HTTPServerSession& aSession)
{
  Poco::Net::HTTPServerResponseImpl response(aSession);
  response.setDate(Poco::Timestamp());
  try {
    Poco::Net::HTTPServerRequestImpl request(response, aSession, mParams);
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
    Refuse(response,
           mEntry.IsExpired() ? SlowRequest()
                              : ProblemReply{ kBadRequest,
                                              Verdict::NotRun,
                                              "bad-http",
                                              "the request is not well-formed HTTP",
                                              std::chrono::milliseconds(0) });
  } catch (const Poco::TimeoutException&) {
    Refuse(response, SlowRequest());
  }
  return false;
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
