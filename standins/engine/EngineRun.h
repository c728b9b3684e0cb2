#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute::standins {

/** What an engine knows of one attempt. */
struct EngineRun
{
  std::string mAttempt;
  std::string mKey;
  std::string mLabel;
  std::uint32_t mPriority = 0;
  std::uint32_t mRuns = 0;    /**< How often the attempt was asked to run. */
  std::uint32_t mResumes = 0; /**< How often its stream was resumed. */
  std::uint32_t mPromptTokens = 0;
  std::vector<std::string> mWords; /**< The answer, one chunk each. */
  bool mCancelled = false;
  std::uint64_t mLife = 0; /**< The engine's crashes before the run. */
  bool mFinished = false;  /**< The last byte of the answer was written. */
};

/** Returns the record of a run as the control path shows it. */
Json::Value RecordOf(const EngineRun& aRun);

/** Returns the JSON of the chunk with the given number, from 1. The first gives the role, the last
    but one the finish reason, the last the usage. */
std::string ChunkOf(const EngineRun& aRun, std::uint64_t aNumber);

/** Returns how many chunks a stream has before its terminator. */
std::uint64_t ChunkCount(const EngineRun& aRun);

/** Returns the JSON of the whole answer. */
Json::Value AnswerOf(const EngineRun& aRun);

/** Returns the answer's words, equal for equal arguments.
    @param aIsGood     a good answer, in the eyes of the rating stand-in
    @param aWordCount  at least 3 */
std::vector<std::string> MakeWords(const std::string& aLabel,
                                   const std::string& aPrompt,
                                   bool aIsGood,
                                   std::uint32_t aWordCount);

} // namespace skylarkchute::standins
