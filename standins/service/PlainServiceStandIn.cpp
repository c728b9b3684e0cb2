#include "PlainServiceStandIn.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace skylarkchute::standins {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

Json::Value DefaultSwitches()
{
  Json::Value switches(Json::objectValue);
  switches["slow_ms"] = 0;
  switches["error_status"] = 0;
  switches["error_not_run"] = false;
  switches["lose_answers"] = false;
  switches["crash_word"] = "";
  switches["foreign_answers"] = false;
  switches["leaving"] = false;
  return switches;
}

Json::Value RecordOf(const ServiceCall& aCall)
{
  Json::Value record(Json::objectValue);
  record["attempt"] = aCall.mAttempt;
  record["key"] = aCall.mKey;
  record["method"] = aCall.mMethod;
  record["path"] = aCall.mPath;
  record["body"] = aCall.mBody;
  return record;
}

} // namespace

PlainServiceStandIn::PlainServiceStandIn(Options aOptions)
  : mOptions(aOptions)
  , mSwitches(DefaultSwitches())
  , mServer(mOptions.mPort,
            [this](Request& aRequest, Response& aResponse) { Handle(aRequest, aResponse); })
{
}

void PlainServiceStandIn::UpdateSwitches(const std::string& aJson)
{
  const std::lock_guard lock(mMutex);
  ApplySwitches(mSwitches, ParseJson(aJson));
}

std::vector<ServiceCall> PlainServiceStandIn::Calls() const
{
  const std::lock_guard lock(mMutex);
  return mCalls;
}

std::size_t PlainServiceStandIn::CountCallsByKey(const std::string& aKey) const
{
  const std::lock_guard lock(mMutex);
  return static_cast<std::size_t>(std::count_if(
    mCalls.begin(), mCalls.end(), [&](const ServiceCall& aCall) { return aCall.mKey == aKey; }));
}

Json::Value PlainServiceStandIn::SwitchValue(const char* aName) const
{
  const std::lock_guard lock(mMutex);
  return mSwitches[aName];
}

void PlainServiceStandIn::Handle(Request& aRequest, Response& aResponse)
{
  const auto& path = aRequest.getURI();
  if (path.starts_with("/standin/")) {
    HandleControl(aRequest, aResponse);
    return;
  }
  if (path == "/v1/load") {
    Json::Value load(Json::objectValue);
    const std::lock_guard lock(mMutex);
    load["running"] = mRunning;
    load["queued"] = 0;
    load["slots"] = mOptions.mSlots;
    load["leaving"] = mSwitches["leaving"];
    load["hosted"] = Json::Value(Json::arrayValue);
    Respond(aResponse, kOk, load);
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    ++mRunning;
  }
  HandleCall(aRequest, aResponse);
  const std::lock_guard lock(mMutex);
  --mRunning;
}

void PlainServiceStandIn::HandleCall(Request& aRequest, Response& aResponse)
{
  const ServiceCall call{ aRequest.get("X-Request-Id", ""),
                          aRequest.get("Idempotency-Key", ""),
                          aRequest.getMethod(),
                          aRequest.getURI(),
                          ReadBody(aRequest) };
  const bool foreign = SwitchValue("foreign_answers").asBool();
  aResponse.set("X-Request-Id", foreign ? call.mAttempt + "-other" : call.mAttempt);
  const auto status = SwitchValue("error_status").asInt();
  if (status != 0 && SwitchValue("error_not_run").asBool()) {
    RespondNotRun(aResponse, status, "switched-error");
    return;
  }
  if (SwitchValue("leaving").asBool()) {
    RespondNotRun(aResponse, kUnavailable, "leaving");
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    mCalls.push_back(call);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(SwitchValue("slow_ms").asInt64()));
  const auto crashWord = SwitchValue("crash_word").asString();
  const bool crashes = !crashWord.empty() && call.mBody.find(crashWord) != std::string::npos;
  if (crashes || SwitchValue("lose_answers").asBool()) {
    AbortConnection(aRequest);
    return;
  }
  Respond(aResponse, status != 0 ? status : kOk, RecordOf(call));
}

void PlainServiceStandIn::HandleControl(Request& aRequest, Response& aResponse)
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
    records["calls"] = Json::Value(Json::arrayValue);
    const std::lock_guard lock(mMutex);
    for (const auto& it : mCalls) {
      records["calls"].append(RecordOf(it));
    }
    if (aRequest.getMethod() == "DELETE") {
      mCalls.clear();
    }
    Respond(aResponse, kOk, records);
    return;
  }
  Respond(aResponse, kNotFound, Json::Value(Json::objectValue));
}

} // namespace skylarkchute::standins
