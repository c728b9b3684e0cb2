#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <json/json.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace skylarkchute::standins {

/** Serves one stand-in's protocol on the loopback address. */
class StandInServer
{
public:
  using Handler =
    std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

  /** @param aPort     zero takes any free port
      @param aHandler  called on several threads */
  StandInServer(std::uint16_t aPort, Handler aHandler);

  /** Stops to accept and ends running requests. */
  ~StandInServer();

  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  std::uint16_t Port() const;

private:
  Poco::ThreadPool mPool;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
};

/** Returns the whole body of a request. */
std::string ReadBody(Poco::Net::HTTPServerRequest& aRequest);

/** Returns the body as a JSON object, an empty one when it is not. */
Json::Value ReadJson(Poco::Net::HTTPServerRequest& aRequest);

/** Parses text into a JSON object, an empty one when it is not. */
Json::Value ParseJson(const std::string& aText);

/** Returns compact JSON text. */
std::string WriteJson(const Json::Value& aValue);

/** Answers with JSON. */
void Respond(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json::Value& aBody);

/** Answers with a problem document whose verdict is not-run. */
void RespondNotRun(Poco::Net::HTTPServerResponse& aResponse,
                   int aStatus,
                   const std::string& aReason);

/** Ends the connection of a request without an answer, or in the middle of one. */
void Hangup(Poco::Net::HTTPServerRequest& aRequest);

/** Sets each switch that the body names to its value; unknown names are ignored. */
void ApplySwitches(Json::Value& aSwitches, const Json::Value& aChanges);

} // namespace skylarkchute::standins
