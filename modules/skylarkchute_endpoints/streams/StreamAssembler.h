#pragma once

#include "SseParser.h"
#include "StreamChunk.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <string_view>
#include <vector>

namespace skylarkchute {

enum class StreamState
{
  Open,      /**< More chunks may come. */
  Complete,  /**< The terminator was seen and no chunk is missing. */
  Broken,    /**< A chunk is missing; the rest must be asked for again. */
  Malformed, /**< The stream does not follow the protocol and cannot be resumed. */
  Failed,    /**< The endpoint sent an error event. */
};

/** Chunks that were not delivered, by cause. */
struct DroppedChunks
{
  std::uint64_t mDuplicate = 0; /**< Numbered at or below the last one delivered. */
  std::uint64_t mForeign = 0;   /**< Name another attempt. */
  std::uint64_t mLate = 0;      /**< Came after the end of the stream. */

  std::uint64_t Total() const { return mDuplicate + mForeign + mLate; }
};

/** Token counts as the endpoint reported them in its last chunk. */
struct TokenUsage
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
};

/** Checks the chunks of one attempt's stream: each in order, once, of this attempt, to the end.

    Does no I/O. A connection that ends is reported with ConnectionEnded; the stream may then go on
    over another connection from LastNumber. */
class StreamAssembler
{
public:
  explicit StreamAssembler(AttemptId aAttempt);

  /** Returns whether the `X-Request-Id` of a response names this attempt. */
  bool IsEchoRight(std::string_view aEcho) const;

  /** Returns whether the `id` of a chunk or answer names this attempt: empty, the attempt id, or
      `chatcmpl-` before it. */
  bool IsOwnId(std::string_view aId) const;

  /** Takes in bytes of the response body and returns the chunks to deliver, in order. */
  std::vector<StreamChunk> Feed(std::string_view aBytes);

  /** Reports the end of the connection; an open stream becomes broken. */
  void ConnectionEnded();

  /** Prepares for the bytes of a new connection that resumes after LastNumber.
      Only a broken stream can be resumed. */
  void Resume();

  StreamState State() const { return mState; }

  /** Returns the number of the last delivered chunk, zero before the first. */
  std::uint64_t LastNumber() const { return mLastNumber; }

  const DroppedChunks& Dropped() const { return mDropped; }

  /** Returns the reported usage; without a report, one completion token per content chunk. */
  TokenUsage Usage() const;

private:
  void TakeEvent(const SseEvent& aEvent, std::vector<StreamChunk>& aChunks);

  AttemptId mAttempt;
  SseParser mParser;
  StreamState mState = StreamState::Open;
  std::uint64_t mLastNumber = 0;
  DroppedChunks mDropped;
  TokenUsage mReported;
  std::uint32_t mContentChunks = 0;
};

} // namespace skylarkchute
