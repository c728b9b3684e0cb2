#include "UsersEndpointStandIn.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <iostream>
#include <sstream>

namespace skylarkchute::standins {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

/** A cold endpoint fails above its rate times kColdOvershoot plus kColdSlack in one second. */
constexpr double kColdOvershoot = 1.5;
constexpr double kColdSlack = 5;

constexpr milliseconds kHeartbeatInterval{ 500 };
constexpr int kStoreTimeoutSeconds = 2;

constexpr const char* kRequestIdHeader = "Skylarkchute-Request-Id";
constexpr const char* kNotExecutedHeader = "Skylarkchute-Not-Executed";
constexpr const char* kTokenCountsHeader = "Skylarkchute-Token-Counts";
constexpr const char* kPromptPrefixHeader = "Skylarkchute-Prompt-Prefix";
constexpr const char* kServersPath = "/skylarkchute/objects/servers";

/** Returns the output token limit of a `PROMPT,OUTPUT` header value, zero if it has no comma. */
std::uint64_t OutputTokens(const std::string& aText)
{
  const auto comma = aText.find(',');
  return comma == std::string::npos ? 0 : std::strtoull(aText.c_str() + comma + 1, nullptr, 10);
}

} // namespace

UsersEndpointStandIn::UsersEndpointStandIn(Options aOptions)
  : mOptions(std::move(aOptions))
  , mStartTimeMs(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count())
  , mServer(
      mOptions.mPort,
      [this](Request& aRequest, Response& aResponse) { Handle(aRequest, aResponse); },
      mOptions.mIdleTimeout)
{
  mSwitches["slow_ms"] = 0;
  mSwitches["error_status"] = 0;
  mSwitches["crash_word"] = "";
  mSwitches["crash_part"] = "";
  mSwitches["break_after"] = 0;
  mSwitches["silent_ms"] = 0;
  mSwitches["leaving"] = false;
  mSwitches["ill"] = false;
  mSwitches["unregister"] = false;
  mSwitches["limit"] = 0;
  mSwitches["pause_s"] = 0;
  mSwitches["cold_ms"] = 0;
  mColdUntil = std::chrono::steady_clock::now() + mOptions.mWarmup;
  if (!mOptions.mRecordFile.empty()) {
    mRecord.open(mOptions.mRecordFile, std::ios::app);
  }
  mSwitches["endless"] = "";
  mSwitches["unframed"] = false;
  Register("ready");
  mHeartbeatThread = std::thread([this] { SendHeartbeats(); });
}

UsersEndpointStandIn::~UsersEndpointStandIn()
{
  mIsDraining = true;
  mHeartbeatThread.join();
  const auto entry = kServersPath + ("/" + mOptions.mId);
  const bool removesEntry = SwitchValue("unregister").asBool();
  if ((removesEntry ? CallStore("DELETE", entry, {}) : Register("draining")) == kOk) {
    RecordDraining();
  }
  std::this_thread::sleep_for(mOptions.mDrainTime);
  CallStore("DELETE", entry, {});
}

void UsersEndpointStandIn::SendHeartbeats()
{
  while (!mIsDraining) {
    std::this_thread::sleep_for(kHeartbeatInterval);
    if (!mIsDraining) {
      Register("ready");
    }
  }
}

/** Updates the endpoint's entry in the store, or creates it if it is missing.
    @returns the HTTP status of the last call, zero if the store did not answer */
int UsersEndpointStandIn::Register(const std::string& aState)
{
  Json::Value body(Json::objectValue);
  body["Metadata"]["Name"] = mOptions.mId;
  auto& spec = body["Spec"];
  spec["Service"] = mOptions.mService;
  spec["Address"] = "127.0.0.1:" + std::to_string(Port());
  spec["Zone"] = mOptions.mZone;
  spec["Version"] = mOptions.mVersion;
  spec["Slots"] = mOptions.mSlots;
  spec["State"] = aState;
  spec["ColdRemainingMs"] = Json::Int64(ColdRemaining().count());
  spec["born"] = Json::Int64(mStartTimeMs);
  spec["Seq"] = Json::UInt64(++mSeq);
  const auto status = CallStore("PUT", kServersPath + ("/" + mOptions.mId), body);
  return status == kNotFound ? CallStore("POST", kServersPath, body) : status;
}

int UsersEndpointStandIn::CallStore(const std::string& aMethod,
                                    const std::string& aTarget,
                                    const Json::Value& aBody)
{
  try {
    Poco::Net::HTTPClientSession session("127.0.0.1", mOptions.mStorePort);
    session.setTimeout(Poco::Timespan(kStoreTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request(aMethod, aTarget, Poco::Net::HTTPMessage::HTTP_1_1);
    const auto text = WriteJson(aBody);
    request.setContentLength(static_cast<std::streamsize>(text.size()));
    session.sendRequest(request) << text;
    Poco::Net::HTTPResponse response;
    std::string answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
    return response.getStatus();
  } catch (const Poco::Exception& error) {
    std::cerr << "store does not answer: " << error.displayText() << '\n';
    return 0;
  }
}

Json::Value UsersEndpointStandIn::SwitchValue(const char* aName) const
{
  const std::lock_guard lock(mMutex);
  return mSwitches[aName];
}

std::string UsersEndpointStandIn::LoadHeaderValue() const
{
  return std::to_string(mRunning) + ",0," + std::to_string(mOptions.mSlots);
}

void UsersEndpointStandIn::Handle(Request& aRequest, Response& aResponse)
{
  const auto& path = aRequest.getURI();
  if (path.starts_with("/standin/")) {
    HandleControl(aRequest, aResponse);
    return;
  }
  if (path == "/healthz") {
    aResponse.set("Skylarkchute-Instance-Id", mOptions.mId);
    aResponse.set("Skylarkchute-Cold-Ms", std::to_string(ColdRemaining().count()));
    const bool isWell = !mIsDraining && !SwitchValue("ill").asBool();
    Respond(aResponse, isWell ? kOk : kUnavailable, Json::Value(Json::objectValue));
    return;
  }
  if (RefuseIfNotRunnable(aRequest, aResponse)) {
    return;
  }
  ++mRunning;
  Run(aRequest, aResponse);
  --mRunning;
}

/** Refuses requests without an id, requests for another endpoint, and requests beyond the slots.
    @returns whether the request was refused */
bool UsersEndpointStandIn::RefuseIfNotRunnable(const Request& aRequest, Response& aResponse)
{
  const auto id = aRequest.get(kRequestIdHeader, "");
  int status = 0;
  if (id.empty()) {
    status = kBadRequest;
  } else if (aRequest.get("Skylarkchute-Expect-Instance", mOptions.mId) != mOptions.mId) {
    status = kMisdirected;
  } else if (CountWhileCold()) {
    std::quick_exit(1);
  } else if (mRunning >= mOptions.mSlots || SwitchValue("pause_s").asInt() > 0) {
    status = kUnavailable;
  }
  if (status == 0) {
    return false;
  }
  SetNoticeHeaders(aResponse);
  aResponse.set(kRequestIdHeader, id);
  aResponse.set(kNotExecutedHeader, "1");
  Respond(aResponse, status, Json::Value(Json::objectValue));
  return true;
}

/** Returns how long the endpoint stays cold; zero if it is not. */
milliseconds UsersEndpointStandIn::ColdRemaining() const
{
  const std::lock_guard lock(mMutex);
  const auto left = mColdUntil - std::chrono::steady_clock::now();
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(left));
}

/** Counts an arrival while cold.
    @returns whether there were too many in the last second, so that the endpoint fails */
bool UsersEndpointStandIn::CountWhileCold()
{
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mMutex);
  if (now >= mColdUntil) {
    mColdArrivals.clear();
    return false;
  }
  mColdArrivals.push_back(now);
  while (now - mColdArrivals.front() >= std::chrono::seconds(1)) {
    mColdArrivals.pop_front();
  }
  mMostWhileCold = std::max(mMostWhileCold, mColdArrivals.size());
  const auto most = mOptions.mColdRate * kColdOvershoot + kColdSlack;
  return mOptions.mColdRate > 0 && static_cast<double>(mColdArrivals.size()) > most;
}

/** Sets the headers by which the endpoint states that it leaves, its limit, its pause and how long
    it stays cold. */
void UsersEndpointStandIn::SetNoticeHeaders(Response& aResponse) const
{
  aResponse.set("Skylarkchute-Cold-Ms", std::to_string(ColdRemaining().count()));
  if (SwitchValue("leaving").asBool()) {
    aResponse.set("Server-Leaving", "1");
  }
  if (const auto limit = SwitchValue("limit").asInt(); limit > 0) {
    aResponse.set("Server-Limit", std::to_string(limit));
  }
  if (const auto pause = SwitchValue("pause_s").asInt(); pause > 0) {
    aResponse.set("Retry-After", std::to_string(pause));
  }
}

void UsersEndpointStandIn::WaitWhileSilent() const
{
  std::unique_lock lock(mMutex);
  while (std::chrono::steady_clock::now() < mSilentUntil) {
    const auto until = mSilentUntil; // A switch may change it while this waits.
    mSilenceChanged.wait_until(lock, until);
  }
}

/** Records that the store has accepted the state `draining`, or the removal of the entry. */
void UsersEndpointStandIn::RecordDraining()
{
  Json::Value line(Json::objectValue);
  line["endpoint"] = mOptions.mId;
  line["draining"] = true;
  const std::lock_guard lock(mMutex);
  mDrainAcknowledged = std::chrono::steady_clock::now();
  if (mRecord.is_open()) {
    mRecord << WriteJson(line) << std::endl;
  }
}

/** Counts a run and writes it to the record file, which outlives the process. */
void UsersEndpointStandIn::RecordRun(const Request& aRequest,
                                     const std::string& aBody,
                                     bool aIsCrash)
{
  const auto now = std::chrono::steady_clock::now();
  Json::Value line(Json::objectValue);
  line["id"] = aRequest.get(kRequestIdHeader, "");
  line["at_us"] = Json::Int64(
    std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
  line["path"] = aRequest.getURI();
  line["body"] = aBody;
  line["crash"] = aIsCrash;
  line["version"] = mOptions.mVersion;
  line["part"] = aRequest.get(kPromptPrefixHeader, "");
  line["endpoint"] = mOptions.mId;
  const std::lock_guard lock(mMutex);
  ++mRuns[line["id"].asString()];
  if (mDrainAcknowledged) {
    line["draining_ms"] =
      Json::Int64(std::chrono::duration_cast<milliseconds>(now - *mDrainAcknowledged).count());
  }
  if (mRecord.is_open()) {
    mRecord << WriteJson(line) << std::endl;
  }
}

/** Returns whether a word of `crash_word` or `crash_part` is in the request. */
bool UsersEndpointStandIn::IsCrashAsked(const Request& aRequest, const std::string& aBody) const
{
  const auto word = SwitchValue("crash_word").asString();
  const auto part = SwitchValue("crash_part").asString();
  return (!word.empty() && aBody.find(word) != std::string::npos) ||
         (!part.empty() && aRequest.get(kPromptPrefixHeader, "").find(part) != std::string::npos);
}

void UsersEndpointStandIn::Run(Request& aRequest, Response& aResponse)
{
  const auto body = ReadBody(aRequest);
  const auto id = aRequest.get(kRequestIdHeader, "");
  const bool isCrash = IsCrashAsked(aRequest, body);
  RecordRun(aRequest, body, isCrash);
  if (isCrash) {
    std::quick_exit(1);
  }
  std::this_thread::sleep_for(milliseconds(SwitchValue("slow_ms").asInt64()));
  WaitWhileSilent();
  SetNoticeHeaders(aResponse);
  const auto endless = SwitchValue("endless").asString();
  if (!endless.empty()) {
    const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(kRequestIdHeader) + ": " + id +
                             "\r\nSkylarkchute-Response-Seal: standin." + mOptions.mId + "\r\n";
    SendEndless(aRequest, head + (endless == "head" ? "X-Endless: " : "\r\n"));
    return;
  }
  aResponse.set(kRequestIdHeader, id);
  aResponse.set("Skylarkchute-Response-Seal", "standin." + mOptions.mId);
  aResponse.set("Skylarkchute-Server-Load", LoadHeaderValue());
  const auto error = SwitchValue("error_status").asInt();
  if (error == 0 && aRequest.has(kTokenCountsHeader)) {
    RunStream(aRequest, aResponse);
    return;
  }
  Json::Value answer(Json::objectValue);
  answer["endpoint"] = mOptions.mId;
  answer["version"] = mOptions.mVersion;
  answer["request"] = id;
  if (error == 0 && SwitchValue("unframed").asBool()) {
    aResponse.send() << WriteJson(answer) << std::flush;
    return;
  }
  Respond(aResponse, error != 0 ? error : kOk, answer);
}

/** Sends bytes until the receiver closes the connection. */
void UsersEndpointStandIn::SendEndless(Request& aRequest, const std::string& aBegin)
{
  constexpr std::size_t kBlockBytes = 64 * 1024;
  auto& socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket();
  const std::string block(kBlockBytes, 'x');
  try {
    socket.sendBytes(aBegin.data(), static_cast<int>(aBegin.size()));
    while (true) {
      socket.sendBytes(block.data(), static_cast<int>(block.size()));
    }
  } catch (const Poco::Exception&) {
    AbortConnection(aRequest);
  }
}

void UsersEndpointStandIn::RunStream(Request& aRequest, Response& aResponse)
{
  const auto outputTokenLimit = OutputTokens(aRequest.get(kTokenCountsHeader, ""));
  const auto id = aRequest.get(kRequestIdHeader, "");
  const auto events = std::min(mOptions.mEvents, std::max<std::uint64_t>(outputTokenLimit, 1));
  const auto breakAfter = SwitchValue("break_after").asUInt64();
  const auto last = std::strtoull(aRequest.get("Last-Event-Id", "0").c_str(), nullptr, 10);
  aResponse.set("Skylarkchute-Confidence", "90");
  aResponse.setContentType("text/event-stream");
  aResponse.setChunkedTransferEncoding(!SwitchValue("unframed").asBool());
  auto& out = aResponse.send();
  for (auto n = last + 1; n <= events; ++n) {
    WaitWhileSilent();
    out << "id: " << n << "\ndata: " << id << " word" << n << "\n\n" << std::flush;
    if (breakAfter != 0 && n - last >= breakAfter) {
      AbortConnection(aRequest);
      return;
    }
    std::this_thread::sleep_for(mOptions.mEventTime);
  }
}

void UsersEndpointStandIn::HandleControl(Request& aRequest, Response& aResponse)
{
  const auto& path = aRequest.getURI();
  const auto changes = ReadJson(aRequest);
  const std::lock_guard lock(mMutex);
  if (path == "/standin/switches") {
    ApplySwitches(mSwitches, changes);
    if (changes.isMember("silent_ms")) {
      mSilentUntil =
        std::chrono::steady_clock::now() + milliseconds(mSwitches["silent_ms"].asInt64());
      mSilenceChanged.notify_all();
    }
    if (changes.isMember("cold_ms")) {
      mColdUntil = std::chrono::steady_clock::now() + milliseconds(mSwitches["cold_ms"].asInt64());
    }
    Respond(aResponse, kOk, mSwitches);
    return;
  }
  if (path == "/standin/records") {
    Json::Value records(Json::objectValue);
    for (const auto& [id, runs] : mRuns) {
      records["runs"][id] = runs;
    }
    records["most_while_cold"] = Json::UInt64(mMostWhileCold);
    Respond(aResponse, kOk, records);
    return;
  }
  Respond(aResponse, kNotFound, Json::Value(Json::objectValue));
}

} // namespace skylarkchute::standins
