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

/** Send a whole answer. */
struct SendBody
{
  AnswerHead mHead;
  std::string mBody;
};

/** Send an error: a problem document, or an error event when a stream has begun. */
struct SendProblem
{
  ProblemReply mProblem;
};

/** What the thread that owns the caller's connection has to do next. */
using SessionMessage = std::variant<SendEvent, EndStream, SendBody, SendProblem>;

} // namespace skylarkchute
