#include "RatingClient.h"

#include "../connections/JsonExchange.h"
#include "../json/JsonObject.h"

namespace skylarkchute {

namespace {

std::string ToJsonBody(const RatingRequest& aRequest)
{
  Json::Value body(Json::objectValue);
  body["request"] = aRequest.mRequestBody;
  body["answer"] = aRequest.mAnswer;
  body["model"] = aRequest.mModel;
  return WriteJsonText(body);
}

} // namespace

std::optional<double> RequestRating(const RatingRequest& aRequest,
                                    std::chrono::milliseconds aTimeout)
{
  const auto reply = ExchangeJson(
    { aRequest.mAddress, aRequest.mPort, "POST", "/v1/ratings", ToJsonBody(aRequest), aTimeout });
  Json::Value value;
  if (!reply.IsOk() || !ParseJsonObject(reply.mBody, value)) {
    return std::nullopt;
  }
  const auto& rating = value["rating"];
  if (!rating.isNumeric() || rating.asDouble() < 0 || rating.asDouble() > 1) {
    return std::nullopt;
  }
  return rating.asDouble();
}

} // namespace skylarkchute
