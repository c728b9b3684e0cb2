#pragma once

#include <cstdint>
#include <string>

namespace skylarkchute {

/** One numbered chunk of a streamed answer. */
struct StreamChunk
{
  std::uint64_t mNumber = 0; /**< From 1, without gaps. */
  std::string mData;         /**< JSON text of the chunk as the endpoint sent it. */
  std::string mText;         /**< Content that the chunk adds to the answer, possibly empty. */
  /** Whether the chunk holds more than content, finish reason and usage of choice 0, such as tool
      calls; a stream that showed one cannot be continued by another attempt. */
  bool mOpaque = false;
  bool mFinish = false; /**< Whether it gives the finish reason of choice 0. */
};

} // namespace skylarkchute
