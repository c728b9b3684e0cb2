#include "WeightStoreStandIn.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute::standins {

namespace {

constexpr std::string_view kWeightsPrefix = "/v1/weights/";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

} // namespace

WeightStoreStandIn::WeightStoreStandIn(Options aOptions)
  : mOptions(aOptions)
  , mSwitches(Json::objectValue)
  , mTokens(std::max(1.0, aOptions.mLoadsPerSecond))
  , mLastRefill(std::chrono::steady_clock::now())
  , mServer(mOptions.mPort,
            [this](Request& aRequest, Response& aResponse) { Handle(aRequest, aResponse); })
{
  const std::lock_guard lock(mMutex);
  mSwitches["outage"] = false;
}

void WeightStoreStandIn::UpdateSwitches(const std::string& aJson)
{
  const std::lock_guard lock(mMutex);
  ApplySwitches(mSwitches, ParseJson(aJson));
}

std::uint64_t WeightStoreStandIn::LoadCount(const std::string& aLabel) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mLoads.find(aLabel);
  return it == mLoads.end() ? 0 : it->second;
}

std::uint64_t WeightStoreStandIn::RefusedLoadCount() const
{
  const std::lock_guard lock(mMutex);
  return mRefused;
}

void WeightStoreStandIn::Handle(Request& aRequest, Response& aResponse)
{
  const auto& path = aRequest.getURI();
  if (path.starts_with(kWeightsPrefix)) {
    HandleLoad(path.substr(kWeightsPrefix.size()), aResponse);
    return;
  }
  if (path == "/standin/switches" && aRequest.getMethod() == "PUT") {
    UpdateSwitches(ReadBody(aRequest));
  }
  const std::lock_guard lock(mMutex);
  if (path == "/standin/switches") {
    Respond(aResponse, kOk, mSwitches);
  } else if (path == "/standin/records") {
    Respond(aResponse, kOk, Records());
  } else {
    Respond(aResponse, kNotFound, Json::Value(Json::objectValue));
  }
}

void WeightStoreStandIn::HandleLoad(const std::string& aLabel, Response& aResponse)
{
  Json::Value reply(Json::objectValue);
  reply["label"] = aLabel;
  const std::lock_guard lock(mMutex);
  if (mSwitches["outage"].asBool()) {
    Respond(aResponse, kUnavailable, reply);
    return;
  }
  if (!TakeToken()) {
    ++mRefused;
    aResponse.set("Retry-After",
                  std::to_string(std::lround(std::ceil(1 / mOptions.mLoadsPerSecond))));
    Respond(aResponse, kTooManyRequests, reply);
    return;
  }
  reply["loads"] = static_cast<Json::UInt64>(++mLoads[aLabel]);
  Respond(aResponse, kOk, reply);
}

bool WeightStoreStandIn::TakeToken()
{
  const auto now = std::chrono::steady_clock::now();
  const auto passed = std::chrono::duration<double>(now - mLastRefill).count();
  mLastRefill = now;
  mTokens =
    std::min(std::max(1.0, mOptions.mLoadsPerSecond), mTokens + passed * mOptions.mLoadsPerSecond);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

Json::Value WeightStoreStandIn::Records() const
{
  Json::Value records(Json::objectValue);
  records["refused"] = static_cast<Json::UInt64>(mRefused);
  records["loads"] = Json::Value(Json::objectValue);
  for (const auto& [label, count] : mLoads) {
    records["loads"][label] = static_cast<Json::UInt64>(count);
  }
  return records;
}

} // namespace skylarkchute::standins
