#include "PlatformStandIn.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Thread.h>
#include <Poco/URI.h>

#include <algorithm>

namespace skylarkchute::standins {

namespace {

using Poco::Net::HTTPResponse;

constexpr std::string_view kObjectsPath = "/v1/objects";
constexpr int kMaxThreads = 400;
constexpr std::chrono::milliseconds kMaxLongPollWait{ 60'000 };

std::string ToJsonText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value ObjectJson(const StoredObject& aObject)
{
  Json::Value value(Json::objectValue);
  value["key"] = aObject.mKey;
  value["version"] = std::to_string(aObject.mPosition);
  value["deleted"] = aObject.mDeleted;
  value["body"] = aObject.mBody;
  return value;
}

Json::Value PageJson(const ObjectPage& aPage)
{
  Json::Value value(Json::objectValue);
  value["position"] = Json::UInt64(aPage.mPosition);
  value["objects"] = Json::Value(Json::arrayValue);
  for (const auto& it : aPage.mObjects) {
    value["objects"].append(ObjectJson(it));
  }
  return value;
}

/** Handles one HTTP request to the stand-in. */
class PlatformHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit PlatformHandler(PlatformStandIn& aStandin) : mStandin(aStandin) {}

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    Poco::StreamCopier::copyToString(aRequest.stream(), mBody);
    const Poco::URI uri(aRequest.getURI());
    const auto& path = uri.getPath();
    if (path == "/v1/instances") {
      Send(aResponse, HTTPResponse::HTTP_OK, ToJsonText(ReadInstances(uri)));
    } else if (path.rfind("/standin/", 0) == 0) {
      HandleControl(aRequest, path, aResponse);
    } else {
      HandleApiRequest(aRequest, uri, aResponse);
    }
  }

private:
  static std::string QueryValue(const Poco::URI& aUri, const std::string& aName)
  {
    for (const auto& [name, value] : aUri.getQueryParameters()) {
      if (name == aName) {
        return value;
      }
    }
    return {};
  }

  static std::uint64_t QueryNumber(const Poco::URI& aUri, const std::string& aName)
  {
    const auto text = QueryValue(aUri, aName);
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
  }

  static std::chrono::milliseconds QueryWait(const Poco::URI& aUri)
  {
    return std::min(std::chrono::milliseconds(QueryNumber(aUri, "wait")), kMaxLongPollWait);
  }

  static void Send(Poco::Net::HTTPServerResponse& aResponse,
                   HTTPResponse::HTTPStatus aStatus,
                   const std::string& aBody)
  {
    aResponse.setStatusAndReason(aStatus);
    aResponse.setContentType("application/json");
    aResponse.sendBuffer(aBody.data(), aBody.size());
  }

  Json::Value ReadInstances(const Poco::URI& aUri)
  {
    return mStandin.Instances().Read(
      QueryNumber(aUri, "after"), QueryWait(aUri), mStandin.Switches().Faults().mInstanceListLag);
  }

  void HandleApiRequest(Poco::Net::HTTPServerRequest& aRequest,
                        const Poco::URI& aUri,
                        Poco::Net::HTTPServerResponse& aResponse)
  {
    const auto faults = mStandin.Switches().Faults();
    Poco::Thread::sleep(faults.mDelay.count());
    if (faults.mOutage) {
      mStandin.Switches().CountRefused();
      Send(aResponse, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "{}");
      return;
    }
    if (aUri.getPath() == "/v1/watch") {
      HandleWatch(aUri, aResponse);
      return;
    }
    const bool isRead = aRequest.getMethod() == "GET";
    auto& switches = mStandin.Switches();
    if (!(isRead ? switches.AdmitRead() : switches.AdmitWrite())) {
      aResponse.set("Retry-After", "1");
      Send(aResponse, HTTPResponse::HTTP_TOO_MANY_REQUESTS, "{}");
      return;
    }
    const auto& path = aUri.getPath();
    if (path == kObjectsPath) {
      const auto page = mStandin.Objects().List(QueryValue(aUri, "prefix"));
      Send(aResponse, HTTPResponse::HTTP_OK, ToJsonText(PageJson(page)));
      return;
    }
    if (path.rfind(std::string(kObjectsPath) + "/", 0) != 0) {
      Send(aResponse, HTTPResponse::HTTP_NOT_FOUND, "{}");
      return;
    }
    HandleObject(aRequest, path.substr(kObjectsPath.size() + 1), aResponse);
  }

  void HandleWatch(const Poco::URI& aUri, Poco::Net::HTTPServerResponse& aResponse)
  {
    mStandin.Switches().CountWatch();
    const auto page = mStandin.Objects().Watch(
      QueryValue(aUri, "prefix"), QueryNumber(aUri, "after"), QueryWait(aUri));
    if (mStandin.Switches().Faults().mOutage) {
      Send(aResponse, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "{}");
      return;
    }
    Send(aResponse, HTTPResponse::HTTP_OK, ToJsonText(PageJson(page)));
  }

  void HandleObject(Poco::Net::HTTPServerRequest& aRequest,
                    const std::string& aKey,
                    Poco::Net::HTTPServerResponse& aResponse)
  {
    if (aRequest.getMethod() == "GET") {
      HandleGet(aKey, aResponse);
    } else if (aRequest.getMethod() == "PUT") {
      HandlePut(aRequest, aKey, aResponse);
    } else if (aRequest.getMethod() == "DELETE") {
      const bool found = mStandin.Objects().Delete(aKey);
      Send(aResponse, found ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_NOT_FOUND, "{}");
    } else {
      Send(aResponse, HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "{}");
    }
  }

  void HandleGet(const std::string& aKey, Poco::Net::HTTPServerResponse& aResponse)
  {
    const auto object = mStandin.Objects().Get(aKey);
    if (!object) {
      Send(aResponse, HTTPResponse::HTTP_NOT_FOUND, "{}");
      return;
    }
    aResponse.set("ETag", "\"" + std::to_string(object->mPosition) + "\"");
    Send(aResponse, HTTPResponse::HTTP_OK, object->mBody);
  }

  void HandlePut(Poco::Net::HTTPServerRequest& aRequest,
                 const std::string& aKey,
                 Poco::Net::HTTPServerResponse& aResponse)
  {
    std::optional<std::uint64_t> ifMatch;
    if (aRequest.has("If-Match")) {
      auto tag = aRequest.get("If-Match");
      tag.erase(std::remove(tag.begin(), tag.end(), '"'), tag.end());
      ifMatch = std::strtoull(tag.c_str(), nullptr, 10);
    } else if (aRequest.get("If-None-Match", "") != "*") {
      Send(aResponse, HTTPResponse::HTTP_PRECONDITION_REQUIRED, "{}");
      return;
    }
    std::uint64_t written = 0;
    const auto result = mStandin.Objects().Put(aKey, mBody, ifMatch, written);
    if (result == WriteResult::TooLarge) {
      Send(aResponse, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "{}");
      return;
    }
    if (result == WriteResult::Conflict) {
      Send(aResponse, HTTPResponse::HTTP_PRECONDITION_FAILED, "{}");
      return;
    }
    if (mStandin.Switches().ConsumeLostAnswer()) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket().shutdown();
      return;
    }
    aResponse.set("ETag", "\"" + std::to_string(written) + "\"");
    Send(aResponse, HTTPResponse::HTTP_OK, "{}");
  }

  void HandleControl(Poco::Net::HTTPServerRequest& aRequest,
                     const std::string& aPath,
                     Poco::Net::HTTPServerResponse& aResponse)
  {
    Json::Value body;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    const bool readable =
      reader->parse(mBody.data(), mBody.data() + mBody.size(), &body, &errors) && body.isObject();
    if (aPath == "/standin/counters") {
      Send(aResponse, HTTPResponse::HTTP_OK, ToJsonText(CountersJson()));
    } else if (!readable) {
      Send(aResponse, HTTPResponse::HTTP_BAD_REQUEST, "{}");
    } else if (aPath == "/standin/switches") {
      SetSwitches(body);
      Send(aResponse, HTTPResponse::HTTP_OK, "{}");
    } else if (aPath == "/standin/instances") {
      ChangeInstances(aRequest.getMethod(), body);
      Send(aResponse, HTTPResponse::HTTP_OK, "{}");
    } else {
      Send(aResponse, HTTPResponse::HTTP_NOT_FOUND, "{}");
    }
  }

  void ChangeInstances(const std::string& aMethod, const Json::Value& aBody)
  {
    if (aMethod == "DELETE") {
      mStandin.Instances().Remove(aBody["id"].asString());
    } else {
      mStandin.Instances().Put(aBody);
    }
  }

  void SetSwitches(const Json::Value& aBody)
  {
    auto faults = mStandin.Switches().Faults();
    faults.mOutage = aBody.get("outage", faults.mOutage).asBool();
    faults.mDelay = std::chrono::milliseconds(
      aBody.get("delay_ms", Json::Int64(faults.mDelay.count())).asInt64());
    faults.mLostAnswers = aBody.get("lost_answers", faults.mLostAnswers).asUInt();
    faults.mInstanceListLag = std::chrono::milliseconds(
      aBody.get("list_lag_ms", Json::Int64(faults.mInstanceListLag.count())).asInt64());
    faults.mWritesPerSecond = aBody.get("writes_per_second", faults.mWritesPerSecond).asUInt();
    faults.mReadsPerSecond = aBody.get("reads_per_second", faults.mReadsPerSecond).asUInt();
    mStandin.Switches().SetFaults(faults);
  }

  Json::Value CountersJson()
  {
    const auto counters = mStandin.Switches().Counters();
    Json::Value value(Json::objectValue);
    value["reads"] = Json::UInt64(counters.mReads);
    value["writes"] = Json::UInt64(counters.mWrites);
    value["watches"] = Json::UInt64(counters.mWatches);
    value["throttled"] = Json::UInt64(counters.mThrottled);
    value["refused"] = Json::UInt64(counters.mRefused);
    value["lost"] = Json::UInt64(counters.mLost);
    return value;
  }

  PlatformStandIn& mStandin;
  std::string mBody;
};

class PlatformHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit PlatformHandlerFactory(PlatformStandIn& aStandin) : mStandin(aStandin) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*aRequest*/) override
  {
    return new PlatformHandler(mStandin);
  }

private:
  PlatformStandIn& mStandin;
};

} // namespace

PlatformStandIn::PlatformStandIn(std::uint16_t aPort)
{
  const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", aPort));
  auto parameters = Poco::AutoPtr<Poco::Net::HTTPServerParams>(new Poco::Net::HTTPServerParams);
  parameters->setMaxThreads(kMaxThreads);
  parameters->setMaxQueued(kMaxThreads);
  static Poco::ThreadPool pool(2, kMaxThreads);
  mServer = std::make_unique<Poco::Net::HTTPServer>(
    new PlatformHandlerFactory(*this), pool, socket, parameters);
  mServer->start();
}

PlatformStandIn::~PlatformStandIn()
{
  mServer->stopAll(true);
}

std::uint16_t PlatformStandIn::Port() const
{
  return mServer->port();
}

} // namespace skylarkchute::standins
