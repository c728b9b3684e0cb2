#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** What the router reads in one `chat.completion.chunk` or `chat.completion` object. */
struct ParsedChunk
{
  std::string mAttempt; /**< The object's `id`, empty without one. */
  std::string mText;    /**< Content of choice 0. */
  bool mOpaque = false; /**< @see StreamChunk::mOpaque */
  bool mFinish = false; /**< @see StreamChunk::mFinish */
  bool mHasUsage = false;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
};

/** Returns the parts of a chunk or a whole answer, or nothing when it is not a JSON object. */
std::optional<ParsedChunk> ParseChunk(const std::string& aJson);

} // namespace skylarkchute
