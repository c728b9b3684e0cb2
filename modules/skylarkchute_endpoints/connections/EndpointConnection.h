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

/** How a read of a response body ended. */
enum class ReadEnd
{
  Data,     /**< Bytes were read; more may follow. */
  Whole,    /**< The body is complete as its framing says. */
  Broken,   /**< The connection ended before the body was complete. */
  TimedOut, /**< Nothing came in time. */
};

/** One HTTP exchange over one TCP connection to an endpoint.

    One thread uses it; only Shutdown may be called from others. Methods but Shutdown and ReadSome
    throw Poco::Exception on failure. */
class EndpointConnection
{
public:
  /** @param aAddress  IP number */
  EndpointConnection(const std::string& aAddress, std::uint16_t aPort);

  /** Connects. A failure here means that the endpoint received nothing. */
  void Connect(std::chrono::milliseconds aTimeout);

  /** Sends a request with its whole body. */
  void Send(Poco::Net::HTTPRequest& aRequest,
            const std::string& aBody,
            std::chrono::milliseconds aTimeout);

  /** Waits for the status line and headers. */
  void ReceiveHead(std::chrono::milliseconds aTimeout);

  /** Returns the response head received last. */
  const Poco::Net::HTTPResponse& Head() const { return mResponse; }

  /** Appends the next available bytes of the body to @p aBytes.
      @param aTimeout  longest wait for the next bytes */
  ReadEnd ReadSome(std::string& aBytes, std::chrono::milliseconds aTimeout);

  /** Ends the exchange at once; a call that waits returns. Safe to use from any thread. */
  void Shutdown();

private:
  ReadEnd EndOfBody() const;
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
