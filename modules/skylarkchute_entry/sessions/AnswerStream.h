#pragma once

#include <skylarkchute_endpoints/streams/StreamChunk.h>

#include <skylarkchute_core/skylarkchute_core.h>

#include <set>
#include <string>
#include <variant>

namespace skylarkchute {

/** Send this event to the caller. */
struct EmitEvent
{
  std::uint64_t mNumber = 0; /**< Counts from 1 without gaps across all attempts. */
  std::string mData;
};

/** Send nothing: the caller already has this content, or the chunk is of a superseded attempt. */
struct SkipChunk
{};

/** End the stream with an error: the chunk differs from what the caller has received, or another
    attempt cannot continue it. */
struct AbortStream
{};

using ChunkAction = std::variant<EmitEvent, SkipChunk, AbortStream>;

/** Tracks the part of a streamed answer that the caller has received, so that a restarted attempt
    continues it without repeated or differing content.

    The first chunk of a new attempt supersedes the previous attempt; later chunks of a superseded
    attempt are skipped. Performs no I/O; not thread-safe. */
class AnswerStream
{
public:
  explicit AnswerStream(RequestId aRequest);

  /** Processes the next chunk of an attempt. Chunks of one attempt must be passed in order.
      @returns what to do with the chunk */
  ChunkAction ProcessChunk(const AttemptId& aAttempt, const StreamChunk& aChunk);

  /** Returns whether the stream can end here: the attempt is the current one and has produced all
      the content that the caller has received. */
  bool IsComplete(const AttemptId& aAttempt) const;

  /** Returns the content that the caller has received. */
  const std::string& SentText() const { return mSentText; }

  /** Returns the number of events that the caller has received. */
  std::uint64_t SentEvents() const { return mSentEvents; }

private:
  ChunkAction AppendChunk(const StreamChunk& aChunk);
  ChunkAction CompareOverlap(const StreamChunk& aChunk);
  ChunkAction Emit(const StreamChunk& aChunk, const std::string& aText);

  RequestId mRequest;
  AttemptId mAttempt;
  std::set<AttemptId> mSuperseded;
  std::string mSentText;
  std::uint64_t mSentEvents = 0;
  bool mSentOpaque = false;
  bool mSentFinish = false;
  std::size_t mPosition = 0; /**< Content received from the current attempt, in bytes. */
  bool mRestarted = false;   /**< The current attempt began after events were sent. */
  bool mAborted = false;
};

} // namespace skylarkchute
