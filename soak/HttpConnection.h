#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace skylarkchute::soak {

struct HttpAnswer
{
  int mStatus = 0;                             /**< Zero without a head. */
  std::map<std::string, std::string> mHeaders; /**< By name in lowercase. */
  std::string mBody;
  bool mIsComplete = false;
  std::optional<std::chrono::steady_clock::time_point> mFirstByte;

  std::string Header(const std::string& aName) const;
};

/** Client connection to a port on the loopback address, for one request at a time. Unlike a
   library's session it never sends a request again, and tells a body that ended early. */
class HttpConnection
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** @throws Poco::Exception  if the connection is not made within a second */
  explicit HttpConnection(std::uint16_t aPort);

  /** Sends a whole request. @returns false if the connection failed */
  bool Send(const std::string& aRequest);

  /** Receives one response, until its end, @p aUntil or the end of the connection.
      @param aGiveUpAfter  number of body bytes after which to stop; zero for no limit */
  HttpAnswer Receive(TimePoint aUntil, std::size_t aGiveUpAfter = 0);

  /** Returns whether unread bytes are there, or arrive at once. */
  bool HasStrayBytes();

  /** Returns whether the connection may carry another request. */
  bool IsOpen() const { return mIsOpen; }

private:
  bool FillBuffer(TimePoint aUntil);
  bool ReadHead(HttpAnswer& aAnswer, TimePoint aUntil);
  std::optional<std::string> ReadLine(TimePoint aUntil);
  bool ReadBytes(std::size_t aCount, std::string& aOut, TimePoint aUntil);
  bool ReadChunks(HttpAnswer& aAnswer, TimePoint aUntil, std::size_t aGiveUpAfter);

  Poco::Net::StreamSocket mSocket;
  std::string mBuffer;
  bool mIsOpen = true;
  bool mHasEnded = false; /**< The peer closed in good order. */
};

/** Sends one request on a connection of its own. @returns its answer; status 0 after a failure */
HttpAnswer CallOnce(std::uint16_t aPort,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aBody,
                    std::chrono::milliseconds aTimeout);

} // namespace skylarkchute::soak
