#include "UsersStoreStandIn.h"

#include <Poco/StringTokenizer.h>
#include <Poco/URI.h>

#include <algorithm>
#include <thread>

namespace skylarkchute::standins {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

constexpr const char* kObjectsPrefix = "/skylarkchute/objects/";
constexpr const char* kEndpointKind = "servers";
constexpr const char* kRelayKind = "relays";
constexpr const char* kStatusSuffix = "/status";
constexpr const char* kEraHeader = "Store-Era";

/** An endpoint is removed after it misses three heartbeats, which are sent every 500 ms. */
constexpr milliseconds kRenewalTimeout{ 1500 };

/** How long a call is held that is never answered; callers give up before. */
constexpr milliseconds kSilentHold{ 40000 };

/** While writes are lost, one of so many gets no answer; every second of these is late. */
constexpr std::uint64_t kLostOneIn = 3;
constexpr std::uint64_t kMaxLateSeconds = 6;

/** Longest wait of a watch. */
constexpr std::uint64_t kMaxWatchWaitMs = 30000;

/** Returns a query parameter, empty if it is absent. */
std::string QueryText(const std::string& aTarget, const std::string& aName)
{
  for (const auto& [name, value] : Poco::URI(aTarget).getQueryParameters()) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

/** Returns the number in a query parameter, zero if the parameter is absent. */
std::uint64_t QueryNumber(const std::string& aTarget, const std::string& aName)
{
  return std::strtoull(QueryText(aTarget, aName).c_str(), nullptr, 10);
}

} // namespace

UsersStoreStandIn::UsersStoreStandIn(const Options& aOptions)
  : mServer(aOptions.mPort,
            [this](Request& aRequest, Response& aResponse) { Handle(aRequest, aResponse); })
{
  mSwitches["busy"] = false;
  mSwitches["busy_kind"] = "";
  mSwitches["calls_per_s"] = 0;
  mSwitches["reject_port"] = 0;
  mSwitches["reject_how"] = "";
  mSwitches["silent"] = false;
  mSwitches["lose_watches"] = false;
  mSwitches["lose_writes"] = false;
  mSwitches["page_items"] = 0;
  mSwitches["slow_ms"] = 0;
  for (const auto port : aOptions.mMorePorts) {
    mMoreServers.push_back(std::make_unique<StandInServer>(
      port, [this](Request& aRequest, Response& aResponse) { Handle(aRequest, aResponse); }));
  }
}

UsersStoreStandIn::~UsersStoreStandIn()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mStopped.notify_all();
  mStore.DropHistory(); // Ends pending watches.
}

void UsersStoreStandIn::Handle(Request& aRequest, Response& aResponse)
{
  if (aRequest.getURI().starts_with("/standin/")) {
    HandleControl(aRequest, aResponse);
    return;
  }
  std::uint64_t silences = 0;
  std::int64_t slowMs = 0;
  {
    const std::lock_guard lock(mMutex);
    ++mCalls;
    silences = mSilences;
    slowMs = mSwitches["slow_ms"].asInt64();
    if (mSwitches["busy"].asBool() || IsKindBusy(aRequest)) {
      Respond(aResponse, kUnavailable, Json::Value(Json::objectValue));
      return;
    }
    if (IsBeyondRate(aRequest)) {
      Respond(aResponse, kTooMany, Json::Value(Json::objectValue));
      return;
    }
  }
  if (RejectByPort(aRequest, aResponse)) {
    return;
  }
  std::this_thread::sleep_for(milliseconds(slowMs));
  RemoveExpiredEndpoints();
  if (const auto delay = DelayIfLost(aRequest)) {
    ExecuteUnanswered(aRequest, *delay);
    return;
  }
  const auto outcome = DispatchRequest(aRequest);
  if (WithholdIfLost(aRequest, outcome) || WithholdIfSilent(silences)) {
    return;
  }
  // A write that was done is not rejected: 503 says that nothing was done.
  if (aRequest.getMethod() == "GET" && RejectByPort(aRequest, aResponse)) {
    return;
  }
  if (outcome.mStatus == 0) {
    AbortConnection(aRequest);
    return;
  }
  aResponse.set(kEraHeader, std::to_string(mStore.Era()));
  Respond(aResponse, outcome.mStatus, outcome.mBody);
}

/** Returns whether calls on the request's kind of objects are refused. */
bool UsersStoreStandIn::IsKindBusy(const Request& aRequest) const
{
  const auto kind = mSwitches["busy_kind"].asString();
  return !kind.empty() &&
         Poco::URI(aRequest.getURI()).getPath().starts_with(std::string(kObjectsPrefix) + kind);
}

/** Counts a call on one of the further ports. @returns whether it is beyond their common rate */
bool UsersStoreStandIn::IsBeyondRate(const Request& aRequest)
{
  const auto rate = mSwitches["calls_per_s"].asUInt();
  if (rate == 0 || aRequest.serverAddress().port() == Port()) {
    return false;
  }
  const auto now = std::chrono::steady_clock::now();
  if (now >= mRateStart + std::chrono::seconds(1)) {
    mRateStart = now;
    mRatedCalls = 0;
  }
  return ++mRatedCalls > rate;
}

/** Returns whether a call came in by the port whose callers are rejected. */
bool UsersStoreStandIn::IsPortRejected(const Request& aRequest) const
{
  return mSwitches["reject_port"].asUInt() == aRequest.serverAddress().port();
}

/** Rejects a call that came in by the port whose callers are rejected, in the way that is set.
    @returns whether the call is over */
bool UsersStoreStandIn::RejectByPort(Request& aRequest, Response& aResponse)
{
  std::unique_lock lock(mMutex);
  if (!IsPortRejected(aRequest)) {
    return false;
  }
  const auto how = mSwitches["reject_how"].asString();
  if (how == "silent") {
    mStopped.wait_for(lock, kSilentHold, [this] { return mIsStopping; });
  } else if (how == "reset") {
    AbortConnection(aRequest);
  } else {
    Respond(aResponse, how == "many" ? kTooMany : kUnavailable, Json::Value(Json::objectValue));
  }
  return true;
}

/** Returns how much later a call is executed that gets no answer, nothing if it gets one. Only
   writes of the relays are lost. */
std::optional<milliseconds> UsersStoreStandIn::DelayIfLost(const Request& aRequest)
{
  const auto path = Poco::URI(aRequest.getURI()).getPath();
  const bool isOfRelay =
    path.starts_with(std::string(kObjectsPrefix) + kRelayKind) || path.ends_with(kStatusSuffix);
  const std::lock_guard lock(mMutex);
  if (!mSwitches["lose_writes"].asBool() || aRequest.getMethod() == "GET" || !isOfRelay ||
      ++mLosableWrites % kLostOneIn != 0) {
    return std::nullopt;
  }
  const auto lost = mLosableWrites / kLostOneIn;
  const auto seconds = lost % 2 == 0 ? 1 + lost / 2 % kMaxLateSeconds : 0;
  return std::chrono::seconds(seconds);
}

/** Executes a call after a delay, without an answer. */
void UsersStoreStandIn::ExecuteUnanswered(Request& aRequest, milliseconds aDelay)
{
  const auto isStopping = [this] { return mIsStopping; };
  std::unique_lock lock(mMutex);
  if (mStopped.wait_for(lock, aDelay, isStopping)) {
    return;
  }
  lock.unlock();
  DispatchRequest(aRequest);
  lock.lock();
  mStopped.wait_for(lock, kSilentHold, isStopping);
}

/** Holds a call that arrived in a silence, or waited when one began.
    @returns whether the call must not be answered */
bool UsersStoreStandIn::WithholdIfSilent(std::uint64_t aSilencesAtArrival)
{
  std::unique_lock lock(mMutex);
  if (!mSwitches["silent"].asBool() && mSilences == aSilencesAtArrival) {
    return false;
  }
  mStopped.wait_for(lock, kSilentHold, [this] { return mIsStopping; });
  return true;
}

/** Holds the answer to a watch that reports a change while such answers are lost.
    @returns whether the call must not be answered */
bool UsersStoreStandIn::WithholdIfLost(const Request& aRequest, const UsersStore::Outcome& aOutcome)
{
  std::unique_lock lock(mMutex);
  if (!mSwitches["lose_watches"].asBool() || QueryText(aRequest.getURI(), "Watch").empty() ||
      aOutcome.mStatus != kOk || aOutcome.mBody["events"].empty()) {
    return false;
  }
  mStopped.wait_for(lock, kSilentHold, [this] { return mIsStopping; });
  return true;
}

void UsersStoreStandIn::HandleControl(Request& aRequest, Response& aResponse)
{
  const auto& path = aRequest.getURI();
  if (path == "/standin/history" && aRequest.getMethod() == "DELETE") {
    mStore.DropHistory();
    Respond(aResponse, kOk, Json::Value(Json::objectValue));
    return;
  }
  if (path == "/standin/watches" && aRequest.getMethod() == "DELETE") {
    mStore.CutWatches();
    Respond(aResponse, kOk, Json::Value(Json::objectValue));
    return;
  }
  if (path == "/standin/copy" && aRequest.getMethod() == "POST") {
    mStore.TakeCopy();
    Respond(aResponse, kOk, Json::Value(Json::objectValue));
    return;
  }
  if (path == "/standin/restore" && aRequest.getMethod() == "POST") {
    mStore.RestoreCopy();
    Respond(aResponse, kOk, Json::Value(Json::objectValue));
    return;
  }
  const auto changes = ReadJson(aRequest);
  const std::lock_guard lock(mMutex);
  if (path == "/standin/switches") {
    const bool wasSilent = mSwitches["silent"].asBool();
    ApplySwitches(mSwitches, changes);
    mSilences += mSwitches["silent"].asBool() && !wasSilent ? 1 : 0;
    Respond(aResponse, kOk, mSwitches);
    return;
  }
  if (path == "/standin/records") {
    Json::Value records(Json::objectValue);
    records["calls"] = Json::UInt64(mCalls);
    Respond(aResponse, kOk, records);
    return;
  }
  Respond(aResponse, kNotFound, Json::Value(Json::objectValue));
}

UsersStore::Outcome UsersStoreStandIn::DispatchRequest(Request& aRequest)
{
  const auto path = Poco::URI(aRequest.getURI()).getPath();
  const auto& method = aRequest.getMethod();
  if (!path.starts_with(kObjectsPrefix)) {
    return { kNotFound, {} };
  }
  const Poco::StringTokenizer parts(path.substr(std::string(kObjectsPrefix).size()), "/");
  const auto& kind = parts[0];
  const std::string name = parts.count() > 1 ? parts[1] : "";
  if (method == "GET") {
    return Read(kind, name, aRequest);
  }
  if (method == "DELETE") {
    return mStore.Delete({ kind, name }, QueryNumber(aRequest.getURI(), "Revision"));
  }
  const auto body = ReadJson(aRequest);
  if (method == "POST") {
    RecordRenewal(kind, body["Metadata"]["Name"].asString());
    return mStore.Create(kind, body);
  }
  const bool isStatus = parts.count() > 2 && parts[2] == "status";
  RecordRenewal(kind, name);
  return mStore.Replace({ kind, name }, isStatus ? "Status" : "Spec", body);
}

UsersStore::Outcome UsersStoreStandIn::Read(const std::string& aKind,
                                            const std::string& aName,
                                            const Request& aRequest)
{
  if (!aName.empty()) {
    return mStore.Get({ aKind, aName });
  }
  const auto& target = aRequest.getURI();
  const auto wait = std::min(QueryNumber(target, "WaitMs"), kMaxWatchWaitMs);
  const auto from = QueryNumber(target, "Watch");
  if (from > 0) {
    return mStore.Watch(aKind, from, milliseconds(wait));
  }
  return mStore.List(aKind, QueryText(target, "AfterRevision"), PageItems());
}

std::size_t UsersStoreStandIn::PageItems()
{
  const std::lock_guard lock(mMutex);
  const auto items = mSwitches["page_items"].asUInt();
  return items > 0 ? items : UsersStore::kMaxPageItems;
}

void UsersStoreStandIn::RecordRenewal(const std::string& aKind, const std::string& aName)
{
  if (aKind == kEndpointKind) {
    const std::lock_guard lock(mMutex);
    mLastRenewal[aName] = std::chrono::steady_clock::now();
  }
}

void UsersStoreStandIn::RemoveExpiredEndpoints()
{
  const auto cutoff = std::chrono::steady_clock::now() - kRenewalTimeout;
  std::vector<std::string> expired;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& [name, at] : mLastRenewal) {
      if (at < cutoff) {
        expired.push_back(name);
      }
    }
    for (const auto& it : expired) {
      mLastRenewal.erase(it);
    }
  }
  for (const auto& it : expired) {
    mStore.Delete({ kEndpointKind, it }, 0);
  }
}

} // namespace skylarkchute::standins
