#include "StandInServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace skylarkchute::standins {

namespace {

constexpr int kMinThreads = 2;
constexpr int kMaxThreads = 256;
constexpr int kMaxQueued = 256;

class FunctionHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit FunctionHandler(const StandInServer::Handler& aHandler) : mHandler(aHandler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    try {
      mHandler(aRequest, aResponse);
    } catch (const std::exception&) {
      // The client disconnected or violated the protocol; there is nothing to answer.
    }
  }

private:
  const StandInServer::Handler& mHandler;
};

class FunctionHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit FunctionHandlerFactory(StandInServer::Handler aHandler) : mHandler(std::move(aHandler))
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*aRequest*/) override
  {
    return std::make_unique<FunctionHandler>(mHandler).release();
  }

private:
  StandInServer::Handler mHandler;
};

} // namespace

StandInServer::StandInServer(std::uint16_t aPort,
                             Handler aHandler,
                             std::chrono::milliseconds aIdleTimeout)
  : mPool("stand-in", kMinThreads, kMaxThreads)
{
  Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxQueued);
  params->setKeepAliveTimeout(Poco::Timespan(std::chrono::microseconds(aIdleTimeout).count()));
  const Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", aPort));
  mServer = std::make_unique<Poco::Net::HTTPServer>(
    Poco::Net::HTTPRequestHandlerFactory::Ptr(new FunctionHandlerFactory(std::move(aHandler))),
    mPool,
    listener,
    params);
  mServer->start();
}

StandInServer::~StandInServer()
{
  mServer->stopAll(true);
  mPool.joinAll();
}

std::uint16_t StandInServer::Port() const
{
  return mServer->port();
}

std::string ReadBody(Poco::Net::HTTPServerRequest& aRequest)
{
  std::string body;
  Poco::StreamCopier::copyToString(aRequest.stream(), body);
  return body;
}

Json::Value ParseJson(const std::string& aText)
{
  Json::Value value;
  std::istringstream in(aText);
  Json::CharReaderBuilder builder;
  std::string errors;
  const bool parsed = Json::parseFromStream(builder, in, &value, &errors);
  return parsed && value.isObject() ? value : Json::Value(Json::objectValue);
}

Json::Value ReadJson(Poco::Net::HTTPServerRequest& aRequest)
{
  return ParseJson(ReadBody(aRequest));
}

std::string WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

void Respond(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json::Value& aBody)
{
  const auto text = WriteJson(aBody);
  aResponse.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
  if (aResponse.getContentType() == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE) {
    aResponse.setContentType("application/json");
  }
  aResponse.sendBuffer(text.data(), text.size());
}

void RespondNotRun(Poco::Net::HTTPServerResponse& aResponse,
                   int aStatus,
                   const std::string& aReason)
{
  Json::Value problem(Json::objectValue);
  problem["verdict"] = "not-run";
  problem["reason"] = aReason;
  aResponse.set("Skylark-Verdict", "not-run");
  aResponse.setContentType("application/problem+json");
  Respond(aResponse, aStatus, problem);
}

void AbortConnection(Poco::Net::HTTPServerRequest& aRequest)
{
  auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&aRequest);
  if (request != nullptr) {
    request->socket().shutdown();
    request->response().setKeepAlive(false);
  }
}

void ApplySwitches(Json::Value& aSwitches, const Json::Value& aChanges)
{
  for (const auto& name : aChanges.getMemberNames()) {
    if (aSwitches.isMember(name)) {
      aSwitches[name] = aChanges[name];
    }
  }
}

} // namespace skylarkchute::standins
