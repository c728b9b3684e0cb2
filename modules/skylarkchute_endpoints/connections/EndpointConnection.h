#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <chrono>
#include <cstdint>
#include <istream>
#include <memory>
#include <mutex>
#include <string>

namespace skylarkchute {

/** Result of a read from a response body. */
enum class ReadStatus
{
  Data,     /**< Bytes were read; more may follow. */
  Complete, /**< The body is complete according to its length or chunked framing. */
  Broken,   /**< The connection ended before the body was complete. */
  TimedOut, /**< No bytes arrived within the timeout. */
};

/** One HTTP exchange over one TCP connection to an endpoint.

    Not thread-safe, except for Shutdown. Connect, Send and ReceiveHead throw Poco::Exception on
    failure. */
class EndpointConnection
{
public:
  /** @param aAddress  IP address */
  EndpointConnection(const std::string& aAddress, std::uint16_t aPort);

  /** Opens the TCP connection. After a failure here the endpoint has received nothing of the
      request. */
  void Connect(std::chrono::milliseconds aTimeout);

  /** Sends a request and its complete body. */
  void Send(Poco::Net::HTTPRequest& aRequest,
            const std::string& aBody,
            std::chrono::milliseconds aTimeout);

  /** Waits for the status line and headers. */
  void ReceiveHead(std::chrono::milliseconds aTimeout);

  /** Returns the response head received last. */
  const Poco::Net::HTTPResponse& Head() const { return mResponse; }

  /** Appends the next available bytes of the body to @p aBytes.
      @param aTimeout  maximum wait for the next bytes */
  ReadStatus ReadSome(std::string& aBytes, std::chrono::milliseconds aTimeout);

  /** Shuts the connection down, so that a blocked call returns. May be called from any thread. */
  void Shutdown();

private:
  ReadStatus StatusAtBodyEnd() const;
  bool IsClosedByPeer() const;

  std::string mAddress;
  std::uint16_t mPort;
  mutable std::mutex mMutex;
  bool mShutDown = false;
  Poco::Net::StreamSocket mSocket;
  std::unique_ptr<Poco::Net::HTTPClientSession> mSession;
  Poco::Net::HTTPResponse mResponse;
  std::istream* mBody = nullptr;
  std::uint64_t mBodyBytes = 0;
};

} // namespace skylarkchute
