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
  std::uint64_t mNumber = 0; /**< From 1, without gaps, over all attempts. */
  std::string mData;
};

/** The caller has this chunk already, or it is late; send nothing. */
struct SkipChunk
{};

/** The chunk contradicts what the caller has; the stream must end with an error. */
struct ContradictStream
{};

using AnswerStep = std::variant<EmitEvent, SkipChunk, ContradictStream>;

/** Remembers what a caller received of a streamed answer, so that a restarted attempt neither
    repeats nor contradicts it.

    An attempt that chunks come from supersedes the one before it; later chunks of a superseded
    attempt are skipped. Free of I/O and threads. */
class AnswerStream
{
public:
  explicit AnswerStream(RequestId aRequest);

  /** Takes in the next chunk of an attempt, in the attempt's order. */
  AnswerStep Take(const AttemptId& aAttempt, const StreamChunk& aChunk);

  /** Returns whether the attempt's answer, ended here, is the whole of what the caller has. */
  bool IsWhole(const AttemptId& aAttempt) const;

  /** Returns the content that the caller has received. */
  const std::string& SentText() const { return mSentText; }

  /** Returns how many events the caller has received. */
  std::uint64_t SentEvents() const { return mSentEvents; }

private:
  AnswerStep TakeNew(const StreamChunk& aChunk);
  AnswerStep TakeOverlap(const StreamChunk& aChunk);
  AnswerStep Emit(const StreamChunk& aChunk, const std::string& aText);

  RequestId mRequest;
  AttemptId mAttempt;
  std::set<AttemptId> mSuperseded;
  std::string mSentText;
  std::uint64_t mSentEvents = 0;
  bool mSentOpaque = false;
  bool mSentFinish = false;
  std::size_t mPosition = 0; /**< Content of the current attempt, in bytes. */
  bool mRestarted = false;   /**< The current attempt is not the first. */
  bool mContradicted = false;
};

} // namespace skylarkchute
