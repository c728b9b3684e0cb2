#pragma once

#include <skylarkchute_endpoints/skylarkchute_endpoints.h>

#include <standins/engine/EngineStandIn.h>

#include <condition_variable>
#include <mutex>
#include <string>

namespace skylarkchute::tests {

/** Records the chunks and the result of one attempt. */
class RecordingListener final : public EndpointClient::Listener
{
public:
  void OnFirstToken(const AttemptId& /*aAttempt*/) override
  {
    const std::lock_guard lock(mMutex);
    ++mFirstTokens;
    mChanged.notify_all();
  }

  void OnChunk(const AttemptId& /*aAttempt*/, const StreamChunk& aChunk) override
  {
    const std::lock_guard lock(mMutex);
    mText += aChunk.mText;
    mNumbers.push_back(aChunk.mNumber);
  }

  void OnEnd(const AttemptResult& aResult) override
  {
    const std::lock_guard lock(mMutex);
    mResult = aResult;
    ++mEnds;
    mChanged.notify_all();
  }

  /** Blocks until the attempt has ended and returns its result. */
  AttemptResult Wait()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mEnds > 0; });
    return mResult;
  }

  void WaitForFirstToken()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mFirstTokens > 0 || mEnds > 0; });
  }

  std::string mText;
  std::vector<std::uint64_t> mNumbers;
  int mFirstTokens = 0;
  int mEnds = 0;

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  AttemptResult mResult;
};

inline AttemptRequest ChatAttempt(std::uint16_t aPort, const std::string& aId, bool aStream)
{
  AttemptRequest request;
  request.mAttempt = AttemptId(aId);
  request.mAddress = "127.0.0.1";
  request.mPort = aPort;
  request.mTimeout = std::chrono::seconds(20);
  request.mPath = "/v1/chat/completions";
  request.mStream = aStream;
  request.mRequestKey = RequestKey("key-" + aId);
  request.mBody = R"({"model":"small-1","messages":[{"role":"user","content":"hello"}],"stream":)";
  request.mBody += aStream ? "true}" : "false}";
  return request;
}

inline standins::EngineStandIn::Options EngineOptions()
{
  standins::EngineStandIn::Options options;
  options.mLabels = { "small-1" };
  return options;
}

/** Returns the text with which the engine stand-in answers ChatAttempt. */
inline std::string ExpectedText()
{
  std::string text;
  for (const auto& it :
       standins::MakeWords("small-1", R"([{"content":"hello","role":"user"}])", true, 12)) {
    text += it;
  }
  return text;
}

} // namespace skylarkchute::tests
