#include "EngineStandIn.h"

#include <skylarkchute_core/hashing/Placement.h>

#include <algorithm>
#include <thread>

namespace skylarkchute::standins {

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kCachedPrefixBytes = 1024;
constexpr std::uint64_t kQualitySteps = 1000; // resolution of Options::mQuality
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kHangPollInterval{ 10 };

Json::Value DefaultSwitches()
{
  Json::Value switches(Json::objectValue);
  switches["slow_factor"] = 1.0;
  switches["bad_quality"] = false;
  switches["crash_word"] = "";
  switches["crash_down_ms"] = 0;
  switches["foreign_answers"] = false;
  switches["stray_chunks"] = false;
  switches["skip_chunk"] = 0;
  switches["error_status"] = 0;
  switches["error_not_run"] = false;
  switches["break_after"] = 0;
  switches["break_times"] = 0;
  switches["cut_body"] = false;
  switches["hang"] = false;
  switches["leaving"] = false;
  return switches;
}

std::string PromptText(const Json::Value& aBody)
{
  return WriteJson(aBody["messages"]);
}

} // namespace

EngineStandIn::EngineStandIn(Options aOptions)
  : mOptions(std::move(aOptions))
  , mSwitches(DefaultSwitches())
  , mSlots(mOptions.mSlots, mOptions.mMaxQueued)
  , mServer(mOptions.mPort,
            [this](Request& aRequest, Response& aResponse) { Handle(aRequest, aResponse); })
{
  const std::lock_guard lock(mMutex);
  for (const auto& it : mOptions.mLabels) {
    mHosted[it] = {};
  }
}

EngineStandIn::~EngineStandIn()
{
  UpdateSwitches(R"({"hang":false})");
}

void EngineStandIn::UpdateSwitches(const std::string& aJson)
{
  const std::lock_guard lock(mMutex);
  ApplySwitches(mSwitches, ParseJson(aJson));
}

std::vector<EngineRun> EngineStandIn::Runs() const
{
  const std::lock_guard lock(mMutex);
  std::vector<EngineRun> runs;
  for (const auto& [attempt, run] : mRuns) {
    runs.push_back(run);
  }
  return runs;
}

std::uint32_t EngineStandIn::CountRunsByKey(const std::string& aKey) const
{
  std::uint32_t count = 0;
  for (const auto& it : Runs()) {
    count += it.mKey == aKey ? it.mRuns : 0;
  }
  return count;
}

Json::Value EngineStandIn::SwitchValue(const char* aName) const
{
  const std::lock_guard lock(mMutex);
  return mSwitches[aName];
}

void EngineStandIn::Handle(Request& aRequest, Response& aResponse)
{
  const auto& path = aRequest.getURI();
  if (path.starts_with("/standin/")) {
    HandleControl(aRequest, aResponse);
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    if (std::chrono::steady_clock::now() < mDownUntil) {
      AbortConnection(aRequest);
      return;
    }
  }
  if (path == "/v1/chat/completions") {
    if (aRequest.getMethod() == "GET") {
      HandleResume(aRequest, aResponse);
    } else {
      HandleChat(aRequest, aResponse);
    }
  } else if (path == "/v1/load") {
    HandleLoad(aResponse);
  } else if (path == "/v1/orders") {
    HandleOrder(aRequest, aResponse);
  } else if (path == "/v1/cancel") {
    HandleCancel(aRequest, aResponse);
  } else {
    RespondNotRun(aResponse, kNotFound, "unknown-path");
  }
}

void EngineStandIn::HandleChat(Request& aRequest, Response& aResponse)
{
  const auto body = ReadJson(aRequest);
  const auto attempt = aRequest.get("X-Request-Id", "");
  const bool foreign = SwitchValue("foreign_answers").asBool();
  aResponse.set("X-Request-Id", foreign ? attempt + "-other" : attempt);
  if (RefuseBeforeRun(body["model"].asString(), aResponse)) {
    return;
  }
  if (!mSlots.AcquireSlot(
        static_cast<std::uint32_t>(std::stoul(aRequest.get("X-Priority", "0"))))) {
    RespondNotRun(aResponse, kUnavailable, "queue-full");
    return;
  }
  try {
    RunInSlot(attempt, body, aRequest, aResponse);
  } catch (...) {
    mSlots.ReleaseSlot();
    throw;
  }
  mSlots.ReleaseSlot();
}

bool EngineStandIn::RefuseBeforeRun(const std::string& aLabel, Response& aResponse)
{
  const auto status = SwitchValue("error_status").asInt();
  if (status != 0 && SwitchValue("error_not_run").asBool()) {
    RespondNotRun(aResponse, status, "switched-error");
    return true;
  }
  if (SwitchValue("leaving").asBool()) {
    RespondNotRun(aResponse, kUnavailable, "leaving");
    return true;
  }
  if (!Hosted().contains(aLabel)) {
    RespondNotRun(aResponse, kNotFound, "label-not-hosted");
    return true;
  }
  return false;
}

EngineRun EngineStandIn::BeginRun(const Request& aRequest, const Json::Value& aBody)
{
  const auto prompt = PromptText(aBody);
  const auto label = aBody["model"].asString();
  const auto step = StableHash(prompt, StableHash(label)) % kQualitySteps;
  const bool good = static_cast<double>(step) < mOptions.mQuality * kQualitySteps;
  const auto& maxTokens = aBody["max_tokens"];
  const std::lock_guard lock(mMutex);
  auto& run = mRuns[aRequest.get("X-Request-Id", "")];
  run.mAttempt = aRequest.get("X-Request-Id", "");
  run.mKey = aRequest.get("Idempotency-Key", "");
  run.mLabel = label;
  run.mPriority = static_cast<std::uint32_t>(std::stoul(aRequest.get("X-Priority", "0")));
  run.mPromptTokens = static_cast<std::uint32_t>(prompt.size() / kBytesPerToken + 1);
  run.mWords = MakeWords(label,
                         prompt,
                         good && !mSwitches["bad_quality"].asBool(),
                         maxTokens.isUInt() ? maxTokens.asUInt() : mOptions.mWords);
  run.mRuns += 1;
  run.mEngineCrashCount = mEngineCrashCount;
  run.mCancelled = false;
  return run;
}

void EngineStandIn::RunInSlot(const std::string& aAttempt,
                              const Json::Value& aBody,
                              Request& aRequest,
                              Response& aResponse)
{
  const auto run = BeginRun(aRequest, aBody);
  const auto prompt = PromptText(aBody);
  const auto crashWord = SwitchValue("crash_word").asString();
  if (!crashWord.empty() && prompt.find(crashWord) != std::string::npos) {
    Crash();
    AbortConnection(aRequest);
    return;
  }
  while (SwitchValue("hang").asBool() && !IsStopped(aAttempt, run.mEngineCrashCount)) {
    std::this_thread::sleep_for(kHangPollInterval);
  }
  SleepScaled(mOptions.mPromptTokenTime * UncachedTokens(prompt, run.mPromptTokens));
  if (const auto status = SwitchValue("error_status").asInt(); status != 0) {
    Json::Value error(Json::objectValue);
    error["error"]["message"] = "switched error";
    Respond(aResponse, status, error);
    return;
  }
  if (aBody["stream"].asBool()) {
    WriteStream(run, 1, aRequest, aResponse);
    return;
  }
  SleepScaled(mOptions.mWordTime * run.mWords.size());
  const auto text = WriteJson(CompletionJson(run));
  aResponse.setContentType("application/json");
  aResponse.setContentLength64(static_cast<Poco::Int64>(text.size()));
  auto& out = aResponse.send();
  if (SwitchValue("cut_body").asBool()) {
    out << text.substr(0, text.size() / 2) << std::flush;
    AbortConnection(aRequest);
    return;
  }
  out << text << std::flush;
  if (out) {
    MarkFinished(aAttempt);
  }
}

void EngineStandIn::WriteStream(const EngineRun& aRun,
                                std::uint64_t aFirst,
                                Request& aRequest,
                                Response& aResponse)
{
  aResponse.setContentType("text/event-stream");
  aResponse.setChunkedTransferEncoding(true);
  auto& out = aResponse.send();
  for (auto n = aFirst; n <= ChunkCount(aRun) && out; ++n) {
    SleepScaled(mOptions.mWordTime);
    if (IsStopped(aRun.mAttempt, aRun.mEngineCrashCount) || ConsumeStreamBreak(n)) {
      AbortConnection(aRequest);
      return;
    }
    if (!ConsumeChunkSkip(n)) {
      out << "id: " << n << "\ndata: " << ChunkJson(aRun, n) << "\n\n" << std::flush;
    }
    WriteStrayChunks(out, aRun, n);
  }
  out << "data: [DONE]\n\n" << std::flush;
  if (out) {
    MarkFinished(aRun.mAttempt);
  }
}

bool EngineStandIn::WriteStrayChunks(std::ostream& aOut,
                                     const EngineRun& aRun,
                                     std::uint64_t aNumber)
{
  if (!SwitchValue("stray_chunks").asBool()) {
    return false;
  }
  auto other = aRun;
  other.mAttempt += "-other";
  aOut << "id: " << aNumber << "\ndata: " << ChunkJson(aRun, aNumber) << "\n\n";
  aOut << "id: " << aNumber + 1 << "\ndata: " << ChunkJson(other, aNumber) << "\n\n" << std::flush;
  return true;
}

bool EngineStandIn::ConsumeStreamBreak(std::uint64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  const auto times = mSwitches["break_times"].asUInt();
  if (times == 0 || aNumber <= mSwitches["break_after"].asUInt64()) {
    return false;
  }
  mSwitches["break_times"] = times - 1;
  return true;
}

bool EngineStandIn::ConsumeChunkSkip(std::uint64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  if (mSwitches["skip_chunk"].asUInt64() != aNumber) {
    return false;
  }
  mSwitches["skip_chunk"] = 0;
  return true;
}

void EngineStandIn::HandleResume(Request& aRequest, Response& aResponse)
{
  const auto attempt = aRequest.get("X-Request-Id", "");
  const auto last = std::stoull(aRequest.get("Last-Event-ID", "0"));
  EngineRun run;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mRuns.find(attempt);
    if (it != mRuns.end() && !it->second.mCancelled &&
        it->second.mEngineCrashCount == mEngineCrashCount) {
      it->second.mResumes += 1;
      run = it->second;
    }
  }
  aResponse.set("X-Request-Id", attempt);
  if (run.mAttempt.empty()) {
    Respond(aResponse, kNotFound, Json::Value(Json::objectValue));
    return;
  }
  WriteStream(run, last + 1, aRequest, aResponse);
}

bool EngineStandIn::IsStopped(const std::string& aAttempt, std::uint64_t aEngineCrashCount) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mRuns.find(aAttempt);
  return mEngineCrashCount != aEngineCrashCount || (it != mRuns.end() && it->second.mCancelled);
}

void EngineStandIn::MarkFinished(const std::string& aAttempt)
{
  const std::lock_guard lock(mMutex);
  mRuns[aAttempt].mFinished = true;
}

void EngineStandIn::Crash()
{
  const std::lock_guard lock(mMutex);
  ++mEngineCrashCount;
  mCachedPrefixes.clear();
  mDownUntil = std::chrono::steady_clock::now() +
               std::chrono::milliseconds(mSwitches["crash_down_ms"].asInt64());
}

void EngineStandIn::SleepScaled(std::chrono::microseconds aTime) const
{
  const auto factor = SwitchValue("slow_factor").asDouble();
  std::this_thread::sleep_for(
    std::chrono::duration<double, std::micro>(static_cast<double>(aTime.count()) * factor));
}

std::uint32_t EngineStandIn::UncachedTokens(const std::string& aPrompt, std::uint32_t aTokens)
{
  const auto prefix = std::to_string(StableHash(aPrompt.substr(0, kCachedPrefixBytes)));
  const std::lock_guard lock(mMutex);
  const auto it = std::find(mCachedPrefixes.begin(), mCachedPrefixes.end(), prefix);
  const bool cached = it != mCachedPrefixes.end();
  if (cached) {
    mCachedPrefixes.erase(it);
  }
  mCachedPrefixes.push_front(prefix);
  mCachedPrefixes.resize(std::min(mCachedPrefixes.size(), mOptions.mPrefixCacheSize));
  return cached ? 0 : aTokens;
}

} // namespace skylarkchute::standins
