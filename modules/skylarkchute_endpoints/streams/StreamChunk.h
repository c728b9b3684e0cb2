#pragma once

#include <cstdint>
#include <string>

namespace skylarkchute {

/** One numbered chunk of a streamed response. */
struct StreamChunk
{
  std::uint64_t mNumber = 0; /**< From 1, without gaps. */
  std::string mData;         /**< JSON text of the chunk as the endpoint sent it. */
  std::string mText;         /**< Text that the chunk appends to the response, possibly empty. */
  /** Whether the chunk contains more than content, finish reason and usage of choice 0, such as
      tool calls; a stream with such a chunk cannot be continued by another attempt. */
  bool mOpaque = false;
  bool mFinish = false; /**< Whether it contains the finish reason of choice 0. */
};

} // namespace skylarkchute
