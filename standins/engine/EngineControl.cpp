#include "EngineStandIn.h"

namespace skylarkchute::standins {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;

} // namespace

std::set<std::string> EngineStandIn::Hosted() const
{
  const std::lock_guard lock(mMutex);
  std::set<std::string> hosted;
  for (const auto& [label, ready] : mHosted) {
    if (ready <= std::chrono::steady_clock::now()) {
      hosted.insert(label);
    }
  }
  return hosted;
}

void EngineStandIn::HandleLoad(Response& aResponse)
{
  Json::Value load(Json::objectValue);
  load["running"] = mSlots.Running();
  load["queued"] = mSlots.Queued();
  load["slots"] = mSlots.Slots();
  load["leaving"] = SwitchValue("leaving").asBool();
  load["hosted"] = Json::Value(Json::arrayValue);
  for (const auto& it : Hosted()) {
    load["hosted"].append(it);
  }
  Respond(aResponse, kOk, load);
}

void EngineStandIn::HandleOrder(Request& aRequest, Response& aResponse)
{
  const auto order = ReadJson(aRequest);
  const auto kind = order["order"].asString();
  const auto label = order["label"].asString();
  const auto fence = order["fence"].isUInt64() ? order["fence"].asUInt64() : 0;
  Json::Value reply(Json::objectValue);
  {
    const std::lock_guard lock(mMutex);
    ++mOrders;
    if (mOptions.mChecksFencing && fence < mHighestFence) {
      reply["accepted"] = false;
      reply["fence"] = static_cast<Json::UInt64>(mHighestFence);
    } else if (kind == "load" || kind == "unload") {
      mHighestFence = std::max(mHighestFence, fence);
      reply["accepted"] = true;
      if (kind == "unload") {
        mHosted.erase(label);
      } else if (!mHosted.contains(label)) {
        mHosted[label] = std::chrono::steady_clock::now() + mOptions.mLoadTime;
      }
    }
  }
  if (!reply.isMember("accepted")) {
    RespondNotRun(aResponse, kBadRequest, "unknown-order");
    return;
  }
  Respond(aResponse, reply["accepted"].asBool() ? kOk : kConflict, reply);
}

void EngineStandIn::HandleCancel(Request& aRequest, Response& aResponse)
{
  const auto attempt = ReadJson(aRequest)["request_id"].asString();
  bool found = false;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mRuns.find(attempt);
    if (it != mRuns.end()) {
      found = true;
      it->second.mCancelled = !it->second.mFinished;
    }
  }
  Json::Value reply(Json::objectValue);
  reply["cancelled"] = found;
  Respond(aResponse, kOk, reply);
}

void EngineStandIn::HandleControl(Request& aRequest, Response& aResponse)
{
  const auto& path = aRequest.getURI();
  if (path == "/standin/switches") {
    if (aRequest.getMethod() == "PUT") {
      UpdateSwitches(ReadBody(aRequest));
    }
    const std::lock_guard lock(mMutex);
    Respond(aResponse, kOk, mSwitches);
    return;
  }
  if (path == "/standin/records") {
    Json::Value records(Json::objectValue);
    records["runs"] = Json::Value(Json::arrayValue);
    for (const auto& it : Runs()) {
      records["runs"].append(RecordOf(it));
    }
    const std::lock_guard lock(mMutex);
    records["orders"] = static_cast<Json::UInt64>(mOrders);
    records["crashes"] = static_cast<Json::UInt64>(mEngineCrashCount);
    if (aRequest.getMethod() == "DELETE") {
      mRuns.clear();
    }
    Respond(aResponse, kOk, records);
    return;
  }
  Respond(aResponse, kNotFound, Json::Value(Json::objectValue));
}

} // namespace skylarkchute::standins
