#include "ObjectHttp.h"

#include <Poco/URI.h>
#include <json/json.h>

#include <algorithm>
#include <memory>

namespace skylarkchute {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

std::string ObjectPath(const std::string& aKey)
{
  std::string encoded;
  Poco::URI::encode(aKey, "?#&+", encoded);
  return "/v1/objects/" + encoded;
}

/** Builds the HTTP request of each kind of operation. */
class RequestBuilder
{
public:
  void operator()(const GetObject& aGet) { Set(HTTPRequest::HTTP_GET, ObjectPath(aGet.mKey)); }

  void operator()(const PutObject& aPut)
  {
    Set(HTTPRequest::HTTP_PUT, ObjectPath(aPut.mKey));
    if (aPut.mIfMatch) {
      mHttp.mRequest.set("If-Match", "\"" + aPut.mIfMatch->mTag + "\"");
    } else {
      mHttp.mRequest.set("If-None-Match", "*");
    }
    mHttp.mBody = aPut.mBody;
  }

  void operator()(const DeleteObject& aDelete)
  {
    Set(HTTPRequest::HTTP_DELETE, ObjectPath(aDelete.mKey));
  }

  void operator()(const ListObjects& aList)
  {
    Set(HTTPRequest::HTTP_GET, "/v1/objects?prefix=" + PercentEncoded(aList.mPrefix));
  }

  void operator()(const WatchObjects& aWatch)
  {
    Set(HTTPRequest::HTTP_GET,
        "/v1/watch?prefix=" + PercentEncoded(aWatch.mPrefix) + "&after=" +
          std::to_string(aWatch.mAfter) + "&wait=" + std::to_string(aWatch.mWait.count()));
    mHttp.mWait = aWatch.mWait;
  }

  ObjectHttpRequest Take() { return std::move(mHttp); }

private:
  void Set(const std::string& aMethod, const std::string& aPath)
  {
    mHttp.mRequest.setMethod(aMethod);
    mHttp.mRequest.setURI(aPath);
    mHttp.mRequest.setVersion(HTTPRequest::HTTP_1_1);
  }

  ObjectHttpRequest mHttp;
};

bool ParsePage(const std::string& aBody, ObjectReply& aReply)
{
  Json::Value page;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(aBody.data(), aBody.data() + aBody.size(), &page, nullptr) ||
      !page.isObject() || !page["objects"].isArray()) {
    return false;
  }
  aReply.mPosition = page["position"].asUInt64();
  for (const auto& it : page["objects"]) {
    aReply.mEntries.push_back({ it["key"].asString(),
                                { it["version"].asString() },
                                it["body"].asString(),
                                it["deleted"].asBool() });
  }
  return true;
}

ObjectStatus ToObjectStatus(int aHttpStatus, bool aIsWrite)
{
  switch (aHttpStatus) {
    case HTTPResponse::HTTP_OK:
      return ObjectStatus::Ok;
    case HTTPResponse::HTTP_NOT_FOUND:
      return ObjectStatus::NotFound;
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
      return ObjectStatus::Conflict;
    case HTTPResponse::HTTP_TOO_MANY_REQUESTS:
      return ObjectStatus::Throttled;
    case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
      return ObjectStatus::Unavailable;
    default:
      return aIsWrite ? ObjectStatus::Unknown : ObjectStatus::Unavailable;
  }
}

} // namespace

bool IsWrite(const ObjectOperation& aOperation)
{
  return std::holds_alternative<PutObject>(aOperation) ||
         std::holds_alternative<DeleteObject>(aOperation);
}

ObjectHttpRequest ToHttp(const ObjectCall& aCall)
{
  RequestBuilder builder;
  std::visit(builder, aCall.mOperation);
  auto http = builder.Take();
  http.mRequest.setContentLength64(static_cast<Poco::Int64>(http.mBody.size()));
  http.mRequest.setKeepAlive(true);
  return http;
}

ObjectReply FromHttp(const ObjectCall& aCall,
                     const Poco::Net::HTTPResponse& aResponse,
                     const std::string& aBody)
{
  ObjectReply reply;
  reply.mId = aCall.mId;
  reply.mStatus = ToObjectStatus(aResponse.getStatus(), IsWrite(aCall.mOperation));
  if (reply.mStatus == ObjectStatus::Throttled) {
    const auto seconds = std::strtol(aResponse.get("Retry-After", "1").c_str(), nullptr, 10);
    reply.mRetryAfter = std::chrono::seconds(seconds);
  }
  if (reply.mStatus != ObjectStatus::Ok) {
    return reply;
  }
  auto tag = aResponse.get("ETag", "");
  tag.erase(std::remove(tag.begin(), tag.end(), '"'), tag.end());
  reply.mVersion = { tag };
  const bool isPage = std::holds_alternative<ListObjects>(aCall.mOperation) ||
                      std::holds_alternative<WatchObjects>(aCall.mOperation);
  if (isPage && !ParsePage(aBody, reply)) {
    reply.mStatus = ObjectStatus::Unavailable;
  }
  if (std::holds_alternative<GetObject>(aCall.mOperation)) {
    reply.mBody = aBody;
  }
  return reply;
}

} // namespace skylarkchute
