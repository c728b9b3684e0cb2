#pragma once

#include "../sessions/SessionMessage.h"
#include "ReplyWriter.h"

namespace skylarkchute {

/** Visitor that writes the messages of a session to its caller. */
class MessageWriter
{
public:
  explicit MessageWriter(ReplyWriter& aWriter) : mWriter(aWriter) {}

  void operator()(const SendEvent& aMessage)
  {
    mBegun = true;
    Note(mWriter.WriteEvent(aMessage.mHead, aMessage.mNumber, aMessage.mData));
  }

  void operator()(const EndStream& aMessage)
  {
    Note(mWriter.WriteStreamEnd(aMessage.mHead));
    mDone = true;
  }

  void operator()(const SendBody& aMessage)
  {
    Note(mWriter.WriteBody(aMessage.mHead, aMessage.mBody));
    mDone = true;
  }

  void operator()(const SendProblem& aMessage)
  {
    Note(mWriter.WriteProblem(aMessage.mProblem));
    mDone = true;
    mFailed = mBegun;
  }

  /** Returns whether the last message has been written. */
  bool IsDone() const { return mDone; }

  /** Returns whether the caller took no more bytes. */
  bool HasCallerLeft() const { return mCallerLeft; }

  /** Returns whether a stream ended with an error event. */
  bool HasFailed() const { return mFailed; }

private:
  void Note(bool aTaken) { mCallerLeft = mCallerLeft || !aTaken; }

  ReplyWriter& mWriter;
  bool mBegun = false;
  bool mDone = false;
  bool mFailed = false;
  bool mCallerLeft = false;
};

} // namespace skylarkchute
