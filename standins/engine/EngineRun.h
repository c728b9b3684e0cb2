#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute::standins {

/** State that the engine stand-in keeps for each attempt. */
struct EngineRun
{
  std::string mAttempt; /**< Attempt id, from `X-Request-Id`. */
  std::string mKey;     /**< `Idempotency-Key` of the request. */
  std::string mLabel;   /**< Label of the version. */
  std::uint32_t mPriority = 0;
  std::uint32_t mRuns = 0;    /**< Times the engine started to run the attempt. */
  std::uint32_t mResumes = 0; /**< Times its stream was resumed. */
  std::uint32_t mPromptTokens = 0;
  std::vector<std::string> mWords; /**< Words of the response; each is a stream chunk. */
  bool mCancelled = false;
  std::uint64_t mEngineCrashCount = 0; /**< Crashes of the engine before the run started. */
  bool mFinished = false;              /**< Whether the complete response was written. */
};

/** Returns the JSON record of a run, as `/standin/records` reports it. */
Json::Value RecordOf(const EngineRun& aRun);

/** Returns the JSON text of one chunk of a streamed response. The first chunk contains the role,
    the second to last the finish reason, and the last the usage.
    @param aNumber  1 to ChunkCount() */
std::string ChunkJson(const EngineRun& aRun, std::uint64_t aNumber);

/** Returns the number of chunks in a stream, without the terminating `[DONE]`. */
std::uint64_t ChunkCount(const EngineRun& aRun);

/** Returns the JSON of the complete response, for requests without streaming. */
Json::Value CompletionJson(const EngineRun& aRun);

/** Returns the words of a response. The result depends only on the arguments.
    @param aIsGood     whether the rating stand-in gives the response a high rating
    @param aWordCount  number of words; values below 3 yield 3 */
std::vector<std::string> MakeWords(const std::string& aLabel,
                                   const std::string& aPrompt,
                                   bool aIsGood,
                                   std::uint32_t aWordCount);

} // namespace skylarkchute::standins
