#pragma once

#include "../problems/ProblemReply.h"
#include "AnswerHead.h"

#include <cstdint>
#include <variant>

namespace skylarkchute {

/** Send one event of a stream. */
struct SendEvent
{
  AnswerHead mHead;
  std::uint64_t mNumber = 0;
  std::string mData;
};

/** End a stream with its terminator. */
struct EndStream
{
  AnswerHead mHead;
};

/** Send a complete answer that is not streamed. */
struct SendBody
{
  AnswerHead mHead;
  std::string mBody;
};

/** Send an error: a problem document, or an error event if a stream has begun. */
struct SendProblem
{
  ProblemReply mProblem;
};

/** An instruction to the thread of the caller's connection. */
using SessionMessage = std::variant<SendEvent, EndStream, SendBody, SendProblem>;

} // namespace skylarkchute
