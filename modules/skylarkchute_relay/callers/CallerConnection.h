#pragma once

#include "../http/RequestReader.h"
#include "../requests/RelayedRequest.h"
#include "CallerGuard.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace skylarkchute {

/** A caller's connection. Reads requests one after another and writes the responses. Pending
    network operations keep the object alive. */
class CallerConnection final
  : public CallerResponder
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  /** @param aOnClosed  called once, when the connection is closed */
  CallerConnection(RelayContext& aContext,
                   boost::asio::ip::tcp::socket aSocket,
                   RequestOrigin aOrigin,
                   std::shared_ptr<CallerGuard> aGuard,
                   std::function<void(CallerConnection*)> aOnClosed);

  /** Starts reading. */
  void Start();

  /** Refuses the request that has arrived, wholly or in part, but is not being served. Closes the
      connection if there is none, unless the first one may be on its way. To be called when new
      requests are refused. */
  void RefuseUnread();

  /** Ends the request in progress with a final response, because the process exits.
      @returns whether there was one */
  bool EndRequest();

  /** Returns whether a request is being read or served, response bytes are being written, or the
      connection is about to carry its first request or to close. */
  bool IsBusy() const;

  bool IsConnected() override;
  bool ClosesAfterResponse() const override;
  void SendResponse(std::string aResponse) override;
  void BeginChunkedResponse(std::string aHead) override;
  void SendChunk(const std::string& aBytes) override;
  void EndChunkedResponse() override;
  void Abort() override;

private:
  using ErrorCode = boost::system::error_code;

  CallerLimits Limits() const;
  void BeginRequest();
  void WaitForBytes();
  void OnReadable(const ErrorCode& aError);
  std::size_t ReadRoom() const;
  ErrorCode ReadSome();
  void ParseOrClose();
  void Parse();
  void StartRequest();
  void RejectRequest(unsigned aStatus, std::string_view aReason);
  void CheckBodyRate();
  bool MayReceiveBody();
  bool UpdateHeldBytes();
  void GiveWay();
  void RefuseHalfRead();
  void ArmReadTimer(std::chrono::milliseconds aTime);
  void OnReadTimeout();
  void CloseIfIdle();
  void CheckForClose();
  void QueueBytes(std::string aBytes);
  void Write();
  void OnWritten(const ErrorCode& aError, std::size_t aCount);
  void OnResponseWritten();
  void Close();

  RelayContext& mContext;
  boost::asio::ip::tcp::socket mSocket;
  RequestOrigin mOrigin;
  boost::asio::steady_timer mReadTimer;
  boost::asio::steady_timer mWriteTimer; /**< Closes the connection if the caller takes no bytes. */
  std::shared_ptr<CallerGuard> mGuard;
  std::optional<CallerBudget::Account> mAccount; /**< Until the connection is closed. */
  std::function<void(CallerConnection*)> mOnClosed;
  std::unique_ptr<RequestReader> mReader;
  std::shared_ptr<RelayedRequest> mRequest;
  std::string mReceived;         /**< Bytes that the reader has not consumed. */
  std::string mOutgoing;         /**< Bytes queued for the next write. */
  std::string mWriting;          /**< Bytes of the write in progress. */
  std::size_t mWritten = 0;      /**< Of mWriting. */
  std::size_t mRequestBytes = 0; /**< Held for the request that is being served. */
  std::size_t mWindowBytes = 0;  /**< Of the body, when the window of its least rate began. */
  TimePoint mWindowStart{};
  TimePoint mLastRead{};
  TimePoint mIdleSince{};
  bool mHasRequestBytes = false; /**< Bytes of the current request have arrived. */
  bool mSentContinue = false;
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mIsResponseQueued = false;    /**< The complete response is queued. */
  bool mClosesAfterResponse = false; /**< The connection closes after the response. */
  bool mIsLingering = false;         /**< The last response is written; bytes are discarded. */
  bool mIsFirstRequest = true;       /**< No earlier request came on the connection. */
  TimePoint mAcceptedAt = std::chrono::steady_clock::now();
  bool mIsClosed = false;
};

} // namespace skylarkchute
