#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace skylarkchute::standins {

/** HTTP server of a stand-in, on the loopback address. */
class StandInServer
{
public:
  static constexpr std::chrono::milliseconds kIdleTimeout{ 15000 };

  using Handler =
    std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

  /** Starts to serve.
      @param aPort     TCP port; zero selects a free port
      @param aHandler  handles each request; called on several threads at once. The server catches
                       the exceptions that it throws.
      @param aIdleTimeout  after which idle connections are closed */
  StandInServer(std::uint16_t aPort,
                Handler aHandler,
                std::chrono::milliseconds aIdleTimeout = kIdleTimeout);

  /** Stops accepting connections, aborts the open ones and waits for running requests. */
  ~StandInServer();

  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  std::uint16_t Port() const;

private:
  Poco::ThreadPool mPool;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
};

/** Reads the complete body of a request. */
std::string ReadBody(Poco::Net::HTTPServerRequest& aRequest);

/** Reads the body of a request as JSON. @returns an empty object if it is not a JSON object */
Json::Value ReadJson(Poco::Net::HTTPServerRequest& aRequest);

/** Parses JSON text. @returns an empty object if the text is not a JSON object */
Json::Value ParseJson(const std::string& aText);

/** Returns the value as JSON text without whitespace. */
std::string WriteJson(const Json::Value& aValue);

/** Sends a JSON response. The content type is `application/json` unless one is set. */
void Respond(Poco::Net::HTTPServerResponse& aResponse, int aStatus, const Json::Value& aBody);

/** Sends a problem document with the verdict `not-run`, in the body and in `Skylark-Verdict`.
    @param aReason  value of the `reason` field */
void RespondNotRun(Poco::Net::HTTPServerResponse& aResponse,
                   int aStatus,
                   const std::string& aReason);

/** Closes the connection of a request, before or in the middle of the response. */
void AbortConnection(Poco::Net::HTTPServerRequest& aRequest);

/** Copies each member of @p aChanges to the switch of the same name; ignores unknown names. */
void ApplySwitches(Json::Value& aSwitches, const Json::Value& aChanges);

} // namespace skylarkchute::standins
