#include "RatingStandIn.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace skylarkchute::standins {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr double kGoodRating = 0.9;
constexpr double kBadRating = 0.1;

Json::Value DefaultSwitches()
{
  Json::Value switches(Json::objectValue);
  switches["outage"] = false;
  switches["slow_ms"] = 0;
  switches["bias"] = 0.0;
  return switches;
}

} // namespace

RatingStandIn::RatingStandIn(std::uint16_t aPort)
  : mSwitches(DefaultSwitches())
  , mServer(aPort, [this](Request& aRequest, Response& aResponse) { Handle(aRequest, aResponse); })
{
}

void RatingStandIn::UpdateSwitches(const std::string& aJson)
{
  const std::lock_guard lock(mMutex);
  ApplySwitches(mSwitches, ParseJson(aJson));
}

std::uint64_t RatingStandIn::RatingRequests() const
{
  const std::lock_guard lock(mMutex);
  return mRatingRequests;
}

void RatingStandIn::Handle(Request& aRequest, Response& aResponse)
{
  const auto& path = aRequest.getURI();
  if (path == "/v1/ratings") {
    HandleRating(aRequest, aResponse);
    return;
  }
  if (path == "/standin/switches" && aRequest.getMethod() == "PUT") {
    UpdateSwitches(ReadBody(aRequest));
  }
  const std::lock_guard lock(mMutex);
  if (path == "/standin/switches") {
    Respond(aResponse, kOk, mSwitches);
  } else if (path == "/standin/records") {
    Json::Value records(Json::objectValue);
    records["asked"] = static_cast<Json::UInt64>(mRatingRequests);
    Respond(aResponse, kOk, records);
  } else {
    Respond(aResponse, kNotFound, Json::Value(Json::objectValue));
  }
}

void RatingStandIn::HandleRating(Request& aRequest, Response& aResponse)
{
  const auto answer = ReadJson(aRequest)["answer"].asString();
  Json::Value switches;
  {
    const std::lock_guard lock(mMutex);
    ++mRatingRequests;
    switches = mSwitches;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(switches["slow_ms"].asInt64()));
  if (switches["outage"].asBool()) {
    Respond(aResponse, kUnavailable, Json::Value(Json::objectValue));
    return;
  }
  const bool good = answer.find(" good answer") != std::string::npos;
  const auto rating = (good ? kGoodRating : kBadRating) + switches["bias"].asDouble();
  Json::Value reply(Json::objectValue);
  reply["rating"] = std::clamp(rating, 0.0, 1.0);
  Respond(aResponse, kOk, reply);
}

} // namespace skylarkchute::standins
