#pragma once

#include <string>

namespace skylarkchute {

/** Where the answer to a caller's request goes. */
class CallerAnswer
{
public:
  virtual ~CallerAnswer() = default;

  /** Returns whether the connection is to end after the answer, and the answer has to say so. */
  virtual bool ClosesAfterAnswer() const = 0;

  /** Sends a whole answer, head and body. */
  virtual void SendWhole(std::string aAnswer) = 0;

  /** Begins an answer whose body follows in chunks. */
  virtual void BeginChunks(std::string aHead) = 0;
  virtual void SendChunk(const std::string& aBytes) = 0;

  /** Ends the chunks: the answer is whole. */
  virtual void EndChunks() = 0;

  /** Ends the connection so that the caller sees that the answer is not whole. */
  virtual void Abort() = 0;
};

} // namespace skylarkchute
