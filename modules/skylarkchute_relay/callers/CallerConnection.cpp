#include "CallerConnection.h"

#include "../net/SocketOptions.h"

#include <boost/asio/write.hpp>

#include <array>
#include <cstdio>

namespace skylarkchute {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kReadBytes = 64 * 1024;

/** Bytes of following requests that are read while one is under way. */
constexpr std::size_t kMostAhead = 64 * 1024;

/** A caller that leaves this much of an answer unread is taken for gone. */
constexpr std::size_t kMostUnsent = 2 * 1024 * 1024;

/** Beyond the callers' own idle timeout, so that they do not write to a connection that ends. */
constexpr std::chrono::milliseconds kIdleMargin{ 2000 };

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;

std::array<char, kReadBytes>& ReadBuffer()
{
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

} // namespace

CallerConnection::CallerConnection(RelayContext& aContext,
                                   asio::ip::tcp::socket aSocket,
                                   std::function<void(CallerConnection*)> aOnEnd)
  : mContext(aContext)
  , mSocket(std::move(aSocket))
  , mReadTimer(aContext.mLoop)
  , mOnEnd(std::move(aOnEnd))
{
}

CallerLimits CallerConnection::Limits() const
{
  const auto& config = mContext.mRouter.Config();
  return config ? config->Config().mLimits : CallerLimits{};
}

void CallerConnection::Start()
{
  ConfigureSocket(mSocket);
  BeginRequest();
  WaitForBytes();
}

void CallerConnection::BeginRequest()
{
  const auto limits = Limits();
  mReader = std::make_unique<RequestReader>(limits.mMaxHeaderBytes, limits.mMaxBodyBytes);
  mHasBytes = false;
  mSaidContinue = false;
  mIsAnswered = false;
  ArmReadTimer(limits.mIdleTimeout + kIdleMargin);
}

void CallerConnection::ArmReadTimer(std::chrono::milliseconds aTime)
{
  mReadTimer.expires_after(aTime);
  mReadTimer.async_wait([self = shared_from_this()](const ErrorCode& aError) {
    if (!aError) {
      self->OnReadTimeout();
    }
  });
}

void CallerConnection::OnReadTimeout()
{
  if (mRequest || mHasEnded) {
    return;
  }
  if (!mHasBytes) {
    End();
    return;
  }
  RefuseRead(kRequestTimeout, "the request did not arrive in time");
}

void CallerConnection::WaitForBytes()
{
  if (mIsReading || mHasEnded || mReceived.size() >= kMostAhead) {
    return;
  }
  mIsReading = true;
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const ErrorCode& aError) {
                       self->mIsReading = false;
                       self->OnReadable(aError);
                     });
}

void CallerConnection::OnReadable(const ErrorCode& aError)
{
  if (mHasEnded) {
    return;
  }
  ErrorCode ec = aError;
  auto& buffer = ReadBuffer();
  const auto count = ec ? 0 : mSocket.read_some(asio::buffer(buffer), ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again) {
    WaitForBytes();
    return;
  }
  if (ec) {
    End();
    return;
  }
  mReceived.append(buffer.data(), count);
  if (!mRequest && !mIsAnswered) {
    Parse();
  }
  WaitForBytes();
}

void CallerConnection::Parse()
{
  if (mReceived.empty()) {
    return;
  }
  const auto limits = Limits();
  if (!mHasBytes) {
    mHasBytes = true;
    ArmReadTimer(limits.mHeaderTimeout);
  }
  const bool hadHead = mReader->HasHead();
  const auto taken = mReader->Feed(mReceived);
  mReceived.erase(0, taken);
  switch (mReader->Error()) {
    case RequestError::None:
      break;
    case RequestError::Malformed:
      RefuseRead(kBadRequest, "the request is not valid HTTP");
      return;
    case RequestError::HeadTooLarge:
      RefuseRead(kHeadTooLarge, "the request's head is too large");
      return;
    case RequestError::BodyTooLarge:
      RefuseRead(kPayloadTooLarge, "the request's body is too large");
      return;
  }
  if (mReader->IsDone()) {
    StartRequest();
    return;
  }
  if (mReader->HasHead()) {
    if (!hadHead && mReader->ExpectsContinue() && !mSaidContinue) {
      mSaidContinue = true;
      QueueBytes("HTTP/1.1 100 Continue\r\n\r\n");
    }
    // The body may take as long as it likes while bytes arrive.
    ArmReadTimer(limits.mIdleTimeout);
  }
}

void CallerConnection::StartRequest()
{
  mReadTimer.cancel();
  mCloses = !mReader->IsKeepAlive();
  CallerHead head{ mReader->Method(), mReader->Target(), mReader->Fields() };
  mRequest = std::make_shared<RelayedRequest>(
    mContext, std::move(head), mReader->TakeBody(), weak_from_this());
  const auto request = mRequest;
  request->Start();
}

void CallerConnection::RefuseRead(unsigned aStatus, std::string_view aReason)
{
  mCloses = true;
  mReceived.clear();
  SendWhole(EncodeOwnAnswer(aStatus, {}, aReason, std::chrono::milliseconds(0), true));
}

bool CallerConnection::ClosesAfterAnswer() const
{
  return mCloses || mContext.mIsLeaving;
}

void CallerConnection::SendWhole(std::string aAnswer)
{
  mCloses = ClosesAfterAnswer();
  mIsAnswered = true;
  QueueBytes(aAnswer);
}

void CallerConnection::BeginChunks(std::string aHead)
{
  mCloses = ClosesAfterAnswer();
  QueueBytes(aHead);
}

void CallerConnection::SendChunk(const std::string& aBytes)
{
  std::array<char, 24> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string chunk(size.data(), static_cast<std::size_t>(length));
  chunk.append(aBytes).append("\r\n");
  QueueBytes(chunk);
}

void CallerConnection::EndChunks()
{
  mIsAnswered = true;
  QueueBytes("0\r\n\r\n");
}

void CallerConnection::Abort()
{
  End();
}

void CallerConnection::QueueBytes(std::string_view aBytes)
{
  if (mHasEnded) {
    return;
  }
  mOutgoing.append(aBytes);
  if (mOutgoing.size() > kMostUnsent) {
    End();
    return;
  }
  Write();
}

void CallerConnection::Write()
{
  if (mIsWriting || mHasEnded || mOutgoing.empty()) {
    return;
  }
  mIsWriting = true;
  mWriting.clear();
  mWriting.swap(mOutgoing);
  asio::async_write(
    mSocket,
    asio::buffer(mWriting),
    [self = shared_from_this()](const ErrorCode& aError, std::size_t) { self->OnWritten(aError); });
}

void CallerConnection::OnWritten(const ErrorCode& aError)
{
  mIsWriting = false;
  if (mHasEnded) {
    return;
  }
  if (aError) {
    End();
    return;
  }
  if (!mOutgoing.empty()) {
    Write();
    return;
  }
  if (mIsAnswered) {
    OnAnswerWritten();
  }
}

void CallerConnection::OnAnswerWritten()
{
  mRequest.reset();
  // An answer whose head was sent before the process was told to stop does not announce the end; a
  // request that crosses it has not been read, so that its caller may send it again.
  if (ClosesAfterAnswer()) {
    // Closing with unread bytes would reset the connection and could destroy the answer.
    ErrorCode ec;
    mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    End();
    return;
  }
  BeginRequest();
  Parse();
  WaitForBytes();
}

void CallerConnection::CloseIfIdle()
{
  if (!IsBusy()) {
    End();
  }
}

void CallerConnection::End()
{
  if (mHasEnded) {
    return;
  }
  const auto self = shared_from_this();
  mHasEnded = true;
  mReadTimer.cancel();
  ErrorCode ec;
  mSocket.close(ec);
  if (const auto request = std::move(mRequest)) {
    request->OnCallerGone();
  }
  mOnEnd(this);
}

} // namespace skylarkchute
