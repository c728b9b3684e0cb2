#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** The fields that the router uses of one `chat.completion.chunk` or `chat.completion` object. */
struct ParsedChunk
{
  std::string mAttempt; /**< The object's `id`, empty without one. */
  std::string mText;    /**< Text of choice 0. */
  bool mOpaque = false; /**< @see StreamChunk::mOpaque */
  bool mFinish = false; /**< @see StreamChunk::mFinish */
  bool mHasUsage = false;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
};

/** Parses a chunk of a stream or a complete response. Returns nothing if the text is not a JSON
    object. */
std::optional<ParsedChunk> ParseChunk(const std::string& aJson);

} // namespace skylarkchute
