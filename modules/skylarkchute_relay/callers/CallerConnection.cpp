#include "CallerConnection.h"

#include "../net/SocketOptions.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace skylarkchute {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kReadBytes = 64 * 1024;

/** Pipelined bytes that are buffered while a request is in progress. */
constexpr std::size_t kMaxPipelinedBytes = 8 * 1024;

/** Bytes beyond the limit of a head that the reader may leave for later: the beginning of a head,
    of a chunk's head or of a trailer. */
constexpr std::size_t kUnparsedMargin = 16 * 1024;

/** Buffers with more room than this are given back when they become empty. */
constexpr std::size_t kKeptBufferBytes = 1024;

/** Interval at which the connection is checked for a close while no more bytes are read from it. */
constexpr std::chrono::milliseconds kCloseCheckInterval{ 200 };

/** The connection is closed when more bytes of a stream than this are queued; the caller is then
    assumed to have stopped reading. A response that is sent whole may be longer. */
constexpr std::size_t kMaxUnsentBytes = 2 * 1024 * 1024;

/** A caller may stop reading for this long, as the system counts a full window like a lost peer. */
constexpr std::chrono::milliseconds kCallerUserTimeout{ 15000 };

/** Time in which the first request may come on a connection that the kernel accepted just before
    the process stops. */
constexpr std::chrono::milliseconds kFirstRequestTime{ 500 };

/** Time for which bytes are read and discarded after the last response, since closing a socket with
    unread bytes resets the connection, and the caller may lose the response. */
constexpr std::chrono::milliseconds kLingerTime{ 1000 };

/** Added to the callers' own idle timeout, so that the caller closes an idle connection first and
    never sends a request on one that is being closed. */
constexpr std::chrono::milliseconds kIdleMargin{ 2000 };

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kUnavailable = 503;

/** Retry-After of requests that are refused since callers hold too much memory. */
constexpr std::chrono::milliseconds kBusyRetryAfter{ 1000 };
constexpr std::string_view kBusyReason = "callers hold too much memory here";

std::array<char, kReadBytes>& ReadBuffer()
{
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

/** Gives back the room of a buffer that is much larger than what it holds. */
void ReleaseRoom(std::string& aBuffer)
{
  if (aBuffer.capacity() > 2 * aBuffer.size() + kKeptBufferBytes) {
    aBuffer.shrink_to_fit();
  }
}

bool IsNothingToRead(const boost::system::error_code& aError)
{
  return aError == asio::error::would_block || aError == asio::error::try_again;
}

} // namespace

CallerConnection::CallerConnection(RelayContext& aContext,
                                   asio::ip::tcp::socket aSocket,
                                   RequestOrigin aOrigin,
                                   std::shared_ptr<CallerGuard> aGuard,
                                   std::function<void(CallerConnection*)> aOnClosed)
  : mContext(aContext)
  , mSocket(std::move(aSocket))
  , mOrigin(aOrigin)
  , mReadTimer(aContext.mLoop)
  , mWriteTimer(aContext.mLoop)
  , mGuard(std::move(aGuard))
  , mOnClosed(std::move(aOnClosed))
{
  mAccount.emplace(mGuard->mBudget, Now(), [this] { GiveWay(); });
}

CallerLimits CallerConnection::Limits() const
{
  const auto& config = mContext.mRouter.Config();
  return config ? config->Config().mLimits : CallerLimits{};
}

void CallerConnection::Start()
{
  ConfigureSocket(mSocket, kCallerUserTimeout);
  BeginRequest();
  WaitForBytes();
}

void CallerConnection::BeginRequest()
{
  mReader.reset();
  mHasRequestBytes = false;
  mSentContinue = false;
  mIsResponseQueued = false;
  mRequestBytes = 0;
  mIdleSince = Now();
  ArmReadTimer(Limits().mIdleTimeout + kIdleMargin);
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
  if (mIsClosed) {
    return;
  }
  if (mRequest) {
    CheckForClose();
    return;
  }
  if (mIsLingering) {
    Close();
    return;
  }
  if (!mHasRequestBytes) {
    CloseIfIdle();
    return;
  }
  if (mIsResponseQueued) {
    return;
  }
  CheckBodyRate();
}

/** Closes an idle connection, unless a newer configuration lets it stay open for longer. */
void CallerConnection::CloseIfIdle()
{
  const auto left = mIdleSince + Limits().mIdleTimeout + kIdleMargin - Now();
  if (left.count() <= 0) {
    Close();
    return;
  }
  ArmReadTimer(std::chrono::ceil<std::chrono::milliseconds>(left));
}

/** Ends a request whose body arrives below the least rate, or not at all. The rate is measured over
    each idle timeout, so that a caller may pause for as long as between two requests. */
void CallerConnection::CheckBodyRate()
{
  const auto idle = Limits().mIdleTimeout;
  const auto now = Now();
  if (mReader && mReader->HasHead() && now - mLastRead < idle) {
    const auto least = mGuard->mLimits.mBodyRate * std::chrono::duration<double>(idle).count();
    if (static_cast<double>(mReader->BodyBytes() - mWindowBytes) >= least) {
      mWindowBytes = mReader->BodyBytes();
      mWindowStart = now;
      ArmReadTimer(idle);
      return;
    }
    mGuard->mBudget.CountSlowBody();
  }
  RejectRequest(kRequestTimeout, "the request did not arrive in time");
}

/** Returns whether the request whose head has arrived may be read. */
bool CallerConnection::MayReceiveBody()
{
  const auto bytes = 2 * mReader->HeadBytes() + static_cast<std::size_t>(mReader->BodyBytesLeft());
  if (mGuard->mBudget.MayReceive(bytes, Now())) {
    return true;
  }
  mClosesAfterResponse = true;
  mReceived.clear();
  mReader.reset();
  SendResponse(EncodeErrorResponse(kUnavailable, {}, kBusyReason, kBusyRetryAfter, true));
  return false;
}

/** Tells the budget what this connection does and holds.
    @returns false when the connection was closed since the budget is spent */
bool CallerConnection::UpdateHeldBytes()
{
  if (!mAccount) {
    return false;
  }
  const auto unsent = mOutgoing.size() + mWriting.size();
  auto phase = CallerBudget::Phase::Idle;
  if (unsent > 0) {
    phase = CallerBudget::Phase::Sending;
  } else if (mIsLingering) {
    phase = CallerBudget::Phase::Lingering;
  } else if (mRequest) {
    phase = mReceived.empty() ? CallerBudget::Phase::Serving : CallerBudget::Phase::Pipelining;
  } else if (mHasRequestBytes) {
    phase = CallerBudget::Phase::Receiving;
  }
  const auto reader = mReader ? mReader->HeadBytes() + mReader->BodyBytes() : 0;
  if (mAccount->Hold(phase, mReceived.size() + reader + unsent + mRequestBytes, Now())) {
    return true;
  }
  GiveWay();
  return false;
}

/** Closes the connection to make room. A caller whose request was not read whole is told that it
    did not run, as far as the socket takes it at once. */
void CallerConnection::GiveWay()
{
  if (!mRequest && mHasRequestBytes && !mIsWriting && !mIsResponseQueued) {
    ErrorCode ec;
    const auto response = EncodeErrorResponse(kUnavailable, {}, kBusyReason, kBusyRetryAfter, true);
    mSocket.write_some(asio::buffer(response), ec);
    mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  }
  Close();
}

/** Closes the connection if the caller has closed it behind bytes that are not read yet. */
void CallerConnection::CheckForClose()
{
  if (HasPeerClosed(mSocket)) {
    Close();
    return;
  }
  WaitForBytes();
}

void CallerConnection::WaitForBytes()
{
  if (mIsReading || mIsClosed) {
    return;
  }
  const bool isPipelined = mRequest != nullptr || mIsResponseQueued;
  if (isPipelined && mReceived.size() >= kMaxPipelinedBytes) {
    if (mRequest) {
      ArmReadTimer(kCloseCheckInterval);
    }
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
  if (mIsClosed) {
    return;
  }
  const auto ec = aError ? aError : ReadSome();
  if (IsNothingToRead(ec)) {
    WaitForBytes();
    return;
  }
  if (ec) {
    Close();
    return;
  }
  if (mIsLingering) {
    mReceived.clear();
  } else if (!mRequest && !mIsResponseQueued) {
    ParseOrClose();
  }
  ReleaseRoom(mReceived);
  if (UpdateHeldBytes()) {
    WaitForBytes();
  }
}

/** Returns how many bytes may be read at once, so that few arrive behind the end of a request. */
std::size_t CallerConnection::ReadRoom() const
{
  if (mRequest || mIsResponseQueued) {
    return kMaxPipelinedBytes - std::min(kMaxPipelinedBytes, mReceived.size());
  }
  const auto left = mReader && mReader->HasHead() ? mReader->BodyBytesLeft() : 0;
  return static_cast<std::size_t>(std::min<std::uint64_t>(kReadBytes, left + kMaxPipelinedBytes));
}

CallerConnection::ErrorCode CallerConnection::ReadSome()
{
  ErrorCode ec;
  auto& buffer = ReadBuffer();
  const auto count = mSocket.read_some(asio::buffer(buffer.data(), ReadRoom()), ec);
  mReceived.append(buffer.data(), count);
  return ec;
}

bool CallerConnection::IsConnected()
{
  ErrorCode ec;
  while (!mIsClosed && !ec && mReceived.size() < kMaxPipelinedBytes) {
    ec = ReadSome();
  }
  if (!ec) {
    return !mIsClosed && !HasPeerClosed(mSocket);
  }
  return IsNothingToRead(ec);
}

/** Parses, and closes the connection if that fails with an exception: no further event would come
    for its request. */
void CallerConnection::ParseOrClose()
{
  try {
    Parse();
  } catch (...) {
    Close();
    throw;
  }
}

void CallerConnection::Parse()
{
  if (mReceived.empty()) {
    return;
  }
  const auto limits = Limits();
  if (!mHasRequestBytes) {
    // Not before, since the limits may change while the connection is idle.
    mReader = std::make_unique<RequestReader>(
      limits.mMaxHeaderBytes, limits.mMaxBodyBytes, mGuard->mLimits.mHeaderLines);
    mHasRequestBytes = true;
    ArmReadTimer(limits.mHeaderTimeout);
  }
  const bool hadHead = mReader->HasHead();
  const auto taken = mReader->Feed(mReceived);
  mReceived.erase(0, taken);
  mLastRead = Now();
  switch (mReader->Error()) {
    case RequestError::None:
      break;
    case RequestError::Malformed:
      RejectRequest(kBadRequest, "the request is not valid HTTP");
      return;
    case RequestError::HeadTooLarge:
      if (mReader->HasTooManyLines()) {
        mGuard->mBudget.CountManyLines();
      }
      RejectRequest(kHeadTooLarge, "the request's head is too large");
      return;
    case RequestError::BodyTooLarge:
      RejectRequest(kPayloadTooLarge, "the request's body is too large");
      return;
  }
  if (!hadHead && mReader->HasHead()) {
    mWindowBytes = 0;
    mWindowStart = mLastRead;
    if (!MayReceiveBody()) {
      return;
    }
  }
  if (mReader->IsDone()) {
    StartRequest();
    return;
  }
  if (mReceived.size() > limits.mMaxHeaderBytes + kUnparsedMargin) {
    RejectRequest(kHeadTooLarge, "a chunk's head or the trailer is too large");
    return;
  }
  if (mReader->HasHead()) {
    if (!hadHead && mReader->ExpectsContinue() && !mSentContinue) {
      mSentContinue = true;
      QueueBytes("HTTP/1.1 100 Continue\r\n\r\n");
    }
    // The body has no overall time limit; the gaps between reads and the rate are limited.
    const auto inWindow =
      std::chrono::duration_cast<std::chrono::milliseconds>(mLastRead - mWindowStart);
    ArmReadTimer(std::max(limits.mIdleTimeout - inWindow, std::chrono::milliseconds(0)));
  }
}

void CallerConnection::StartRequest()
{
  mReadTimer.cancel();
  mClosesAfterResponse = !mReader->IsKeepAlive();
  CallerHead head{ mReader->Method(), mReader->Target(), mReader->Fields() };
  // The head is held by the request and once more, encoded, for the endpoint.
  mRequestBytes = 2 * mReader->HeadBytes() + mReader->BodyBytes();
  mRequest = std::make_shared<RelayedRequest>(
    mContext, std::move(head), mReader->TakeBody(), weak_from_this(), mOrigin);
  mReader.reset();
  const auto request = mRequest;
  request->Start();
}

void CallerConnection::RejectRequest(unsigned aStatus, std::string_view aReason)
{
  mClosesAfterResponse = true;
  mReceived.clear();
  mReader.reset();
  SendResponse(EncodeErrorResponse(aStatus, {}, aReason, std::chrono::milliseconds(0), true));
}

bool CallerConnection::ClosesAfterResponse() const
{
  return mClosesAfterResponse || mContext.mIsLeaving;
}

void CallerConnection::SendResponse(std::string aResponse)
{
  mClosesAfterResponse = ClosesAfterResponse();
  mIsResponseQueued = true;
  QueueBytes(std::move(aResponse));
}

void CallerConnection::BeginChunkedResponse(std::string aHead)
{
  mClosesAfterResponse = ClosesAfterResponse();
  QueueBytes(std::move(aHead));
}

void CallerConnection::SendChunk(const std::string& aBytes)
{
  std::array<char, 24> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string chunk(size.data(), static_cast<std::size_t>(length));
  chunk.append(aBytes).append("\r\n");
  if (mOutgoing.size() + chunk.size() > kMaxUnsentBytes) {
    Close();
    return;
  }
  QueueBytes(std::move(chunk));
}

void CallerConnection::EndChunkedResponse()
{
  mIsResponseQueued = true;
  QueueBytes("0\r\n\r\n");
}

void CallerConnection::Abort()
{
  Close();
}

void CallerConnection::QueueBytes(std::string aBytes)
{
  if (mIsClosed) {
    return;
  }
  if (mOutgoing.empty()) {
    mOutgoing = std::move(aBytes);
  } else {
    mOutgoing.append(aBytes);
  }
  Write();
  UpdateHeldBytes();
}

void CallerConnection::Write()
{
  if (mIsWriting || mIsClosed) {
    return;
  }
  if (mWritten == mWriting.size()) {
    std::string().swap(mWriting);
    mWriting.swap(mOutgoing);
    mWritten = 0;
  }
  if (mWriting.empty()) {
    return;
  }
  mIsWriting = true;
  mWriteTimer.expires_after(Limits().mIdleTimeout);
  mWriteTimer.async_wait([self = shared_from_this()](const ErrorCode& aError) {
    if (!aError) {
      self->Close();
    }
  });
  mSocket.async_write_some(
    asio::buffer(mWriting) + mWritten,
    [self = shared_from_this()](const ErrorCode& aError, std::size_t aCount) {
      self->OnWritten(aError, aCount);
    });
}

void CallerConnection::OnWritten(const ErrorCode& aError, std::size_t aCount)
{
  mIsWriting = false;
  mWriteTimer.cancel();
  if (mIsClosed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  mWritten += aCount;
  mAccount->OnProgress(Now());
  Write();
  if (mIsWriting) {
    return;
  }
  if (mIsResponseQueued) {
    OnResponseWritten();
  }
  UpdateHeldBytes();
}

void CallerConnection::OnResponseWritten()
{
  mRequest.reset();
  // A response whose head was sent before shutdown began carries no `Connection: close`. A request
  // that the caller sends meanwhile is not read, so the caller may safely send it again.
  if (ClosesAfterResponse()) {
    ErrorCode ec;
    mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    mIsLingering = true;
    mReceived.clear();
    ArmReadTimer(kLingerTime);
    WaitForBytes();
    return;
  }
  mIsFirstRequest = false;
  BeginRequest();
  ParseOrClose();
  WaitForBytes();
}

bool CallerConnection::IsBusy() const
{
  const bool awaitsFirst =
    mIsFirstRequest && std::chrono::steady_clock::now() < mAcceptedAt + kFirstRequestTime;
  return mRequest != nullptr || mHasRequestBytes || mIsWriting || mIsLingering || awaitsFirst;
}

void CallerConnection::RefuseUnread()
{
  if (mIsClosed || mRequest || mIsResponseQueued || mIsLingering) {
    return;
  }
  ErrorCode ec;
  while (!ec && mReceived.size() < kMaxPipelinedBytes) {
    ec = ReadSome();
  }
  if (ec && !IsNothingToRead(ec)) {
    Close();
    return;
  }
  ParseOrClose();
  if (mHasRequestBytes) {
    RefuseHalfRead();
  } else if (!IsBusy()) {
    Close();
  }
}

/** Refuses a request of which a part has arrived, because the process exits. */
void CallerConnection::RefuseHalfRead()
{
  if (mIsClosed || mRequest || mIsResponseQueued) {
    return;
  }
  const auto id = mReader->HasHead()
                    ? RequestIdOf({ mReader->Method(), mReader->Target(), mReader->Fields() })
                    : std::string();
  const auto reason = RefusalReasonName(RefusalReason::Leaving);
  mContext.mMetrics.Add("skylarkchute_refusals_total", "reason=\"" + std::string(reason) + "\"");
  mClosesAfterResponse = true;
  mReceived.clear();
  SendResponse(EncodeErrorResponse(kUnavailable, id, reason, kShutdownRetryAfter, true));
}

bool CallerConnection::EndRequest()
{
  const auto request = mRequest;
  if (!request || mIsResponseQueued) {
    return false;
  }
  request->EndForShutdown();
  return true;
}

void CallerConnection::Close()
{
  if (mIsClosed) {
    return;
  }
  const auto self = shared_from_this();
  mIsClosed = true;
  mReadTimer.cancel();
  mWriteTimer.cancel();
  mAccount.reset();
  mReader.reset();
  std::string().swap(mReceived);
  std::string().swap(mOutgoing);
  ErrorCode ec;
  mSocket.close(ec);
  if (const auto request = std::move(mRequest)) {
    request->OnCallerDisconnected();
  }
  mOnClosed(this);
}

} // namespace skylarkchute
