#pragma once

#include <string>

namespace skylarkchute {

/** Receives the response to a caller's request and sends it to the caller. */
class CallerResponder
{
public:
  virtual ~CallerResponder() = default;

  /** Returns whether the caller is still connected, including what has arrived and was not read
      yet. */
  virtual bool IsConnected() = 0;

  /** Returns whether the connection closes after the response; the response then has to carry
      `Connection: close`. */
  virtual bool ClosesAfterResponse() const = 0;

  /** Sends a complete response.
      @param aResponse  head and body */
  virtual void SendResponse(std::string aResponse) = 0;

  /** Starts a response with chunked transfer encoding; the body follows through SendChunk(). */
  virtual void BeginChunkedResponse(std::string aHead) = 0;

  /** Sends one chunk of the body; the chunk framing is added here. */
  virtual void SendChunk(const std::string& aBytes) = 0;

  /** Sends the last chunk, which completes the response. */
  virtual void EndChunkedResponse() = 0;

  /** Closes the connection without the last chunk, so that the caller detects an incomplete
      response. */
  virtual void Abort() = 0;
};

} // namespace skylarkchute
