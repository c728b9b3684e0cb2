#pragma once

#include "../http/ResponseReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace skylarkchute {

/** Why a request got no complete response on its connection. */
enum class ConnectionFailure
{
  NotConnected, /**< Not established, or closed before the request was sent. */
  Reset,        /**< The server closed the connection before the request was sent. */
  Closed,       /**< The connection closed before the response was complete. */
  Malformed,    /**< The received bytes are not a valid HTTP response or do not end. */
};

/** What to do with a response, decided when its head has arrived. */
enum class HeadChoice
{
  Accept,
  Skip, /**< Discard the response: it belongs to another request, and the expected one follows. */
};

/** Receives the response to one request. */
class ResponseListener
{
public:
  virtual ~ResponseListener() = default;

  /** The connection is established and the request is about to be written.
      @returns whether to write it; if not, the listener has closed the connection */
  virtual bool OnSending() { return true; }
  /** The head of a final response (status 200 or above) has arrived. */
  virtual HeadChoice OnHead(const ResponseReader& aReader) = 0;
  /** Part of the body of the accepted response has arrived. */
  virtual void OnBody(std::string aBytes) = 0;
  /** The accepted response is complete, and the connection no longer refers to the listener.
      @param aReusable  whether the connection is still open for another request */
  virtual void OnDone(bool aReusable) = 0;
  /** The request failed and the connection is closed. No further calls follow. */
  virtual void OnConnectionFailed(ConnectionFailure aFailure) = 0;
};

/** HTTP client connection that carries one request at a time. Pending network operations keep the
    object alive. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  /** @param aConnectTimeout  limit for establishing the connection
      @param aResetWait       delay between connecting and sending the first request. A connection
                              that the server closes within it is reported as Reset. Zero
                              sends at once. */
  ClientConnection(boost::asio::io_context& aContext,
                   std::chrono::milliseconds aConnectTimeout,
                   std::chrono::milliseconds aResetWait = std::chrono::milliseconds(0));

  /** Sends a request; connects first if the connection is not open.
      @param aHead      request line and header fields
      @param aBody      sent after the head; may be null
      @param aListener  held weakly */
  void Send(const boost::asio::ip::tcp::endpoint& aAddress,
            std::string aHead,
            std::shared_ptr<const std::string> aBody,
            const std::shared_ptr<ResponseListener>& aListener);

  /** Closes the connection at once without notifying the listener. The server sees the disconnect
      and stops working on the request. */
  void Close();

  /** Records the id of the request that is sent next. */
  void RecordRequestId(std::string_view aId);

  /** Returns whether one of the latest requests on the connection had the id. */
  bool HasCarried(std::string_view aId) const;

  /** Returns whether the connection is open and no request is in progress. */
  bool IsIdle() const { return mIsOpen && !mIsBusy; }

  /** Calls @p aOnClosed when the server closes the idle connection or sends unsolicited bytes on
      it. The connection is closed in both cases. */
  void WatchIdle(std::function<void()> aOnClosed);

  /** Returns the server's keep-alive timeout, zero when the last response stated none. */
  std::chrono::seconds IdleTimeout() const { return mIdleTimeout; }

private:
  using ErrorCode = boost::system::error_code;

  void DiscardUnsentBytes();
  void OnConnected(const ErrorCode& aError);
  void WaitForReset();
  void Write();
  void WaitForBytes();
  void OnReadable(const ErrorCode& aError);
  void ParseWithRest(std::string_view aBytes);
  void Parse(std::string_view aBytes);
  bool NotifyListener();
  bool FailIfSkippedTooMuch();
  bool FinishResponse();
  void OnConnectionEnded(bool aIsEof);
  void FinishAtEof();
  void Fail(ConnectionFailure aFailure);

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mConnectTimer;
  std::chrono::milliseconds mConnectTimeout;
  std::chrono::milliseconds mResetWait;
  std::string mHead;
  std::shared_ptr<const std::string> mBody;
  std::weak_ptr<ResponseListener> mListener;
  std::unique_ptr<ResponseReader> mReader;
  std::string mUnparsed; /**< Bytes that the reader has not consumed yet. */
  std::function<void()> mOnIdleClosed;
  std::chrono::seconds mIdleTimeout{ 0 };
  std::deque<std::uint64_t> mCarriedIds; /**< Hashes of the latest requests' ids. */
  unsigned mSkippedResponses = 0;        /**< Before the response to the current request. */
  std::size_t mSkippedBytes = 0;         /**< Of their bodies. */
  bool mIsOpen = false;
  bool mIsBusy = false;
  bool mIsWaitingForReset = false;
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mHasWriteFailed = false;
  bool mIsHeadHandled = false;
  bool mIsSkipped = false;
};

} // namespace skylarkchute
