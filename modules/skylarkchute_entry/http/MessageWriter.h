#pragma once

#include "../sessions/SessionMessage.h"
#include "ReplyWriter.h"

namespace skylarkchute {

/** Visitor that writes the messages of a CallerSession to the HTTP response. */
class MessageWriter
{
public:
  explicit MessageWriter(ReplyWriter& aWriter) : mWriter(aWriter) {}

  void operator()(const SendEvent& aMessage)
  {
    mBegun = true;
    RecordWrite(mWriter.WriteEvent(aMessage.mHead, aMessage.mNumber, aMessage.mData));
  }

  void operator()(const EndStream& aMessage)
  {
    RecordWrite(mWriter.WriteStreamEnd(aMessage.mHead));
    mDone = true;
  }

  void operator()(const SendBody& aMessage)
  {
    RecordWrite(mWriter.WriteBody(aMessage.mHead, aMessage.mBody));
    mDone = true;
  }

  void operator()(const SendProblem& aMessage)
  {
    RecordWrite(mWriter.WriteProblem(aMessage.mProblem));
    mDone = true;
    mFailed = mBegun;
  }

  /** Returns whether the last message has been written. */
  bool IsDone() const { return mDone; }

  /** Returns whether a write failed because the caller has disconnected. */
  bool HasCallerLeft() const { return mCallerLeft; }

  /** Returns whether the stream ended with an error event. */
  bool HasFailed() const { return mFailed; }

private:
  void RecordWrite(bool aWritten) { mCallerLeft = mCallerLeft || !aWritten; }

  ReplyWriter& mWriter;
  bool mBegun = false;
  bool mDone = false;
  bool mFailed = false;
  bool mCallerLeft = false;
};

} // namespace skylarkchute
