#pragma once

#include "../http/AnswerReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace skylarkchute {

/** How a connection failed a request. */
enum class ConnectionLoss
{
  NotConnected, /**< Nothing of the request was sent. */
  Closed,       /**< Ended before the answer was whole. */
  Malformed,    /**< The bytes are no HTTP answer. */
};

enum class HeadChoice
{
  Accept,
  Skip, /**< The answer belongs to another request; the own one follows. */
};

/** Receives the answer to one request. */
class AnswerListener
{
public:
  virtual ~AnswerListener() = default;

  /** The request was handed to the connected socket. */
  virtual void OnSent() {}
  /** The head of an answer is there. */
  virtual HeadChoice OnHead(const AnswerReader& aReader) = 0;
  /** A further part of the accepted answer's body. */
  virtual void OnBody(std::string aBytes) = 0;
  /** The accepted answer is whole. The connection has left the listener. */
  virtual void OnDone(bool aReusable) = 0;
  /** There will be no whole answer. The connection is closed. */
  virtual void OnLost(ConnectionLoss aLoss) = 0;
};

/** One connection of this process to a server, for one request at a time. Keeps itself alive while
    it waits for the network. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  /** @param aConnectTimeout  until the connection counts as not made
      @param aSettleTime      time in which a new connection must not end before it is used; one
     that ends counts as not made. Zero for none. */
  ClientConnection(boost::asio::io_context& aContext,
                   std::chrono::milliseconds aConnectTimeout,
                   std::chrono::milliseconds aSettleTime = std::chrono::milliseconds(0));

  /** Sends a request; connects first when needed.
      @param aBody      sent after the head; may be null
      @param aListener  weakly held */
  void Send(const boost::asio::ip::tcp::endpoint& aAddress,
            std::string aHead,
            std::shared_ptr<const std::string> aBody,
            const std::shared_ptr<AnswerListener>& aListener);

  /** Closes at once and tells nobody. A server stops work on the request. */
  void Close();

  /** Returns whether a further request may be sent. */
  bool IsIdle() const { return mIsOpen && !mIsBusy; }

  /** Calls @p aOnClosed when the server ends the connection, or sends bytes that nobody asked for,
      while it is idle. */
  void WatchIdle(std::function<void()> aOnClosed);

  /** Returns how long the server keeps an idle connection, zero when it did not say. */
  std::chrono::seconds IdleTimeout() const { return mIdleTimeout; }

private:
  using ErrorCode = boost::system::error_code;

  void OnConnected(const ErrorCode& aError);
  void Settle();
  void Write();
  void WaitForBytes();
  void OnReadable(const ErrorCode& aError);
  void Parse(std::string_view aBytes);
  bool TakeHead();
  bool FinishAnswer();
  void OnEnd(bool aInOrder);
  void Lose(ConnectionLoss aLoss);

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mConnectTimer;
  std::chrono::milliseconds mConnectTimeout;
  std::chrono::milliseconds mSettleTime;
  std::string mHead;
  std::shared_ptr<const std::string> mBody;
  std::weak_ptr<AnswerListener> mListener;
  std::unique_ptr<AnswerReader> mReader;
  std::string mPending; /**< Bytes that the reader could not take yet. */
  std::function<void()> mOnIdleClosed;
  std::chrono::seconds mIdleTimeout{ 0 };
  bool mIsOpen = false;
  bool mIsBusy = false;
  bool mIsSettling = false;
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mHasChosen = false;
  bool mIsSkipped = false;
};

} // namespace skylarkchute
