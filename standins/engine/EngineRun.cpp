#include "EngineRun.h"

#include "../http/StandInServer.h"

#include <skylarkchute_core/hashing/Placement.h>

#include <algorithm>

namespace skylarkchute::standins {

namespace {

constexpr std::uint64_t kNonContentChunks = 3; // role, finish reason and usage
constexpr std::uint32_t kMinWords = 3;         // label, " good" or " bad", " answer"

Json::Value UsageJson(const EngineRun& aRun)
{
  Json::Value usage(Json::objectValue);
  usage["prompt_tokens"] = aRun.mPromptTokens;
  usage["completion_tokens"] = static_cast<Json::UInt>(aRun.mWords.size());
  usage["total_tokens"] = aRun.mPromptTokens + static_cast<Json::UInt>(aRun.mWords.size());
  return usage;
}

} // namespace

Json::Value RecordOf(const EngineRun& aRun)
{
  Json::Value record(Json::objectValue);
  record["attempt"] = aRun.mAttempt;
  record["key"] = aRun.mKey;
  record["label"] = aRun.mLabel;
  record["priority"] = aRun.mPriority;
  record["runs"] = aRun.mRuns;
  record["resumes"] = aRun.mResumes;
  record["prompt_tokens"] = aRun.mPromptTokens;
  record["completion_tokens"] = static_cast<Json::UInt>(aRun.mWords.size());
  record["cancelled"] = aRun.mCancelled;
  record["finished"] = aRun.mFinished;
  return record;
}

std::uint64_t ChunkCount(const EngineRun& aRun)
{
  return aRun.mWords.size() + kNonContentChunks;
}

std::string ChunkJson(const EngineRun& aRun, std::uint64_t aNumber)
{
  Json::Value chunk(Json::objectValue);
  chunk["id"] = "chatcmpl-" + aRun.mAttempt;
  chunk["object"] = "chat.completion.chunk";
  chunk["model"] = aRun.mLabel;
  chunk["choices"] = Json::Value(Json::arrayValue);
  if (aNumber == ChunkCount(aRun)) {
    chunk["usage"] = UsageJson(aRun);
    return WriteJson(chunk);
  }
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  choice["delta"] = Json::Value(Json::objectValue);
  choice["finish_reason"] = Json::Value();
  if (aNumber == 1) {
    choice["delta"]["role"] = "assistant";
  } else if (aNumber - 2 < aRun.mWords.size()) {
    choice["delta"]["content"] = aRun.mWords[aNumber - 2];
  } else {
    choice["finish_reason"] = "stop";
  }
  chunk["choices"].append(choice);
  return WriteJson(chunk);
}

Json::Value CompletionJson(const EngineRun& aRun)
{
  std::string text;
  for (const auto& it : aRun.mWords) {
    text += it;
  }
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  choice["message"]["role"] = "assistant";
  choice["message"]["content"] = text;
  choice["finish_reason"] = "stop";
  Json::Value answer(Json::objectValue);
  answer["id"] = "chatcmpl-" + aRun.mAttempt;
  answer["object"] = "chat.completion";
  answer["model"] = aRun.mLabel;
  answer["choices"].append(choice);
  answer["usage"] = UsageJson(aRun);
  return answer;
}

std::vector<std::string> MakeWords(const std::string& aLabel,
                                   const std::string& aPrompt,
                                   bool aIsGood,
                                   std::uint32_t aWordCount)
{
  std::vector<std::string> words{ aLabel, aIsGood ? " good" : " bad", " answer" };
  auto hash = StableHash(aPrompt, StableHash(aLabel));
  while (words.size() < std::max(aWordCount, kMinWords)) {
    hash = StableHash(aLabel, hash);
    words.push_back(" w" + std::to_string(hash % 10000));
  }
  return words;
}

} // namespace skylarkchute::standins
