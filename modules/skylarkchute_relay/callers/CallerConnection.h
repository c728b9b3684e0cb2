#pragma once

#include "../http/RequestReader.h"
#include "../requests/RelayedRequest.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace skylarkchute {

/** One connection of a caller: reads requests one after the other and writes their answers. Keeps
    itself alive while it waits for the network. */
class CallerConnection final
  : public CallerAnswer
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  /** @param aOnEnd  called once when the connection has ended */
  CallerConnection(RelayContext& aContext,
                   boost::asio::ip::tcp::socket aSocket,
                   std::function<void(CallerConnection*)> aOnEnd);

  /** Begins to read. */
  void Start();

  /** Ends the connection if no request is under way. */
  void CloseIfIdle();

  /** Returns whether a request is under way or being read. */
  bool IsBusy() const { return mRequest != nullptr || mHasBytes || mIsWriting; }

  bool ClosesAfterAnswer() const override;
  void SendWhole(std::string aAnswer) override;
  void BeginChunks(std::string aHead) override;
  void SendChunk(const std::string& aBytes) override;
  void EndChunks() override;
  void Abort() override;

private:
  using ErrorCode = boost::system::error_code;

  CallerLimits Limits() const;
  void BeginRequest();
  void WaitForBytes();
  void OnReadable(const ErrorCode& aError);
  void Parse();
  void StartRequest();
  void RefuseRead(unsigned aStatus, std::string_view aReason);
  void ArmReadTimer(std::chrono::milliseconds aTime);
  void OnReadTimeout();
  void QueueBytes(std::string_view aBytes);
  void Write();
  void OnWritten(const ErrorCode& aError);
  void OnAnswerWritten();
  void End();

  RelayContext& mContext;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mReadTimer;
  std::function<void(CallerConnection*)> mOnEnd;
  std::unique_ptr<RequestReader> mReader;
  std::shared_ptr<RelayedRequest> mRequest;
  std::string mReceived; /**< Bytes that the reader has not taken. */
  std::string mOutgoing;
  std::string mWriting;
  bool mHasBytes = false; /**< A part of a request was read. */
  bool mSaidContinue = false;
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mIsAnswered = false; /**< The answer is queued in full. */
  bool mCloses = false;     /**< The connection ends after the answer. */
  bool mHasEnded = false;
};

} // namespace skylarkchute
