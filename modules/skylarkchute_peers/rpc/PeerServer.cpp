#include "PeerServer.h"

#include "PeerHttp.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <istream>

namespace skylarkchute {

namespace {

constexpr int kBacklog = 64;

/** Poco shares a port by default: a second listener on it would get part of the connections. */
constexpr bool kReuseAddress = true;
constexpr bool kReusePort = false;

constexpr std::size_t kMaxBodyBytes = 2'097'152;

/** Reads a body; returns nothing when it is longer than kMaxBodyBytes. */
std::optional<std::string> ReadBody(std::istream& aStream)
{
  std::string body;
  char buf[8192];
  while (aStream.read(buf, sizeof buf) || aStream.gcount() > 0) {
    body.append(buf, static_cast<std::size_t>(aStream.gcount()));
    if (body.size() > kMaxBodyBytes) {
      return std::nullopt;
    }
  }
  return body;
}

class PeerRequestHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit PeerRequestHandler(const PeerServer& aServer) : mServer(aServer) {}

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    const auto body = ReadBody(aRequest.stream());
    std::optional<std::string> answer;
    if (body) {
      const InstanceId from(aRequest.get(kPeerFromHeader, ""));
      const auto at = ParsePeerTime(aRequest.get(kPeerTimeHeader, "0"));
      answer = mServer.Serve(from, at, aRequest.get(kPeerSignatureHeader, ""), *body);
    }
    if (!answer) {
      aResponse.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_FORBIDDEN);
      aResponse.setKeepAlive(false);
      aResponse.setContentLength(0);
      aResponse.send();
      return;
    }
    aResponse.setContentType("application/json");
    aResponse.sendBuffer(answer->data(), answer->size());
  }

private:
  const PeerServer& mServer;
};

class PeerRequestHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit PeerRequestHandlerFactory(const PeerServer& aServer) : mServer(aServer) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*aRequest*/) override
  {
    return new PeerRequestHandler(mServer);
  }

private:
  const PeerServer& mServer;
};

} // namespace

PeerServer::PeerServer(const Options& aOptions,
                       const Clock& aClock,
                       Handler aHandler,
                       RefusalHandler aOnRefused)
  : mSelf(aOptions.mSelf)
  , mClock(aClock)
  , mSignature(aOptions.mSharedKey)
  , mHandler(std::move(aHandler))
  , mOnRefused(std::move(aOnRefused))
  , mMethods(aOptions.mMethods)
  , mPool(std::make_unique<Poco::ThreadPool>(2, aOptions.mMaxThreads))
{
  Poco::Net::ServerSocket socket;
  socket.bind(
    Poco::Net::SocketAddress(aOptions.mAddress, aOptions.mPort), kReuseAddress, kReusePort);
  socket.listen(kBacklog);
  auto parameters = Poco::AutoPtr<Poco::Net::HTTPServerParams>(new Poco::Net::HTTPServerParams);
  parameters->setMaxThreads(aOptions.mMaxThreads);
  parameters->setMaxQueued(aOptions.mMaxThreads * 2);
  parameters->setKeepAlive(true);
  mServer = std::make_unique<Poco::Net::HTTPServer>(
    new PeerRequestHandlerFactory(*this), *mPool, socket, parameters);
  mServer->start();
}

PeerServer::~PeerServer()
{
  mServer->stopAll(true);
  mPool->joinAll();
}

std::uint16_t PeerServer::Port() const
{
  return mServer->port();
}

std::optional<std::string> PeerServer::Serve(const InstanceId& aFrom,
                                             WallTime aAt,
                                             const std::string& aSignature,
                                             const std::string& aBody) const
{
  if (!mSignature.Verify(aFrom, mSelf, aAt, mClock.WallNow(), aBody, aSignature)) {
    mOnRefused(aFrom);
    return std::nullopt;
  }
  const JsonRpcDispatcher dispatcher(
    mMethods, [&](const std::string& aMethod, const std::string& aParams, std::string& aResult) {
      const auto result = mHandler({ aFrom, aMethod, aParams });
      aResult = result.value_or("");
      return result.has_value();
    });
  return dispatcher.Serve(aBody);
}

} // namespace skylarkchute
