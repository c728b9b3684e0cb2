#pragma once

#include "SseParser.h"
#include "StreamChunk.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <string_view>
#include <vector>

namespace skylarkchute {

enum class StreamState
{
  Open,      /**< More chunks may follow. */
  Complete,  /**< The terminator was seen and no chunk is missing. */
  Broken,    /**< A chunk or the terminator is missing; the rest must be requested again. */
  Malformed, /**< The stream does not follow the protocol and cannot be resumed. */
  Failed,    /**< The endpoint sent an error event. */
};

/** Chunks that were not delivered, by cause. */
struct DroppedChunks
{
  std::uint64_t mDuplicate = 0; /**< Numbered at or below the last one delivered. */
  std::uint64_t mForeign = 0;   /**< Carry the id of another attempt. */
  std::uint64_t mLate = 0;      /**< Arrived after the end of the stream. */

  std::uint64_t Total() const { return mDuplicate + mForeign + mLate; }
};

/** Token counts of a response. */
struct TokenUsage
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
};

/** Checks that the chunks of one attempt's stream are complete, in order, without duplicates and
    belong to the attempt.

    Does no I/O. The caller reports the end of a connection with OnConnectionEnd; the stream can
    then be resumed over another connection after LastNumber. */
class StreamAssembler
{
public:
  explicit StreamAssembler(AttemptId aAttempt);

  /** Returns whether the `X-Request-Id` header of a response is the id of this attempt. */
  bool MatchesRequestId(std::string_view aRequestId) const;

  /** Returns whether the `id` field of a chunk or response belongs to this attempt: it is empty, or
      the attempt id with or without the prefix `chatcmpl-`. */
  bool MatchesCompletionId(std::string_view aId) const;

  /** Parses the next bytes of the response body and returns the chunks to deliver, in order. */
  std::vector<StreamChunk> Feed(std::string_view aBytes);

  /** Reports the end of the connection; an open stream becomes broken. */
  void OnConnectionEnd();

  /** Prepares for the bytes of a new connection that resumes after LastNumber.
      Only a broken stream can be resumed. */
  void Resume();

  StreamState State() const { return mState; }

  /** Returns the number of the last delivered chunk, zero before the first. */
  std::uint64_t LastNumber() const { return mLastNumber; }

  const DroppedChunks& Dropped() const { return mDropped; }

  /** Returns the usage that the endpoint reported last. Without reported completion tokens, counts
      one for each chunk with content. */
  TokenUsage Usage() const;

private:
  void HandleEvent(const SseEvent& aEvent, std::vector<StreamChunk>& aChunks);

  AttemptId mAttempt;
  SseParser mParser;
  StreamState mState = StreamState::Open;
  std::uint64_t mLastNumber = 0;
  DroppedChunks mDropped;
  TokenUsage mReportedUsage;
  std::uint32_t mContentChunks = 0;
};

} // namespace skylarkchute
