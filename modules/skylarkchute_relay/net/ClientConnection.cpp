#include "ClientConnection.h"

#include "SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/field.hpp>
#include <skylarkchute_core/skylarkchute_core.h>

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace skylarkchute {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kReadBytes = 64 * 1024;

/** Bytes that the reader may leave for later: the beginning of a head, of a chunk's head or of a
    trailer. */
constexpr std::size_t kMaxUnparsedBytes = 128 * 1024;

/** Interim responses and responses to other requests that may precede the expected one, and the
    bytes that the bodies of the latter may have. */
constexpr unsigned kMaxSkippedResponses = 32;
constexpr std::size_t kMaxSkippedBytes = 8 * 1024 * 1024;

/** Request ids that a connection remembers. A copy of an answer comes soon after it, if at all. */
constexpr std::size_t kMaxCarriedIds = 64;

/** Shared by all connections of the event loop, since the bytes are parsed before the next read. */
std::array<char, kReadBytes>& ReadBuffer()
{
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

bool IsHeadRequest(std::string_view aRequestHead)
{
  constexpr std::string_view kMethod = "HEAD ";
  return aRequestHead.substr(0, kMethod.size()) == kMethod;
}

/** Longer idle timeouts of a server are cut to this. */
constexpr std::chrono::hours kMaxIdleTimeout{ 24 };

/** Parses the `timeout=N` parameter of a Keep-Alive header field.
    @returns zero when it is missing or not a number; at most kMaxIdleTimeout */
std::chrono::seconds KeepAliveTimeout(boost::beast::string_view aField)
{
  constexpr std::string_view kParameter = "timeout=";
  const std::string_view field(aField.data(), aField.size());
  const auto start = field.find(kParameter);
  if (start == std::string_view::npos) {
    return std::chrono::seconds(0);
  }
  const auto rest = field.substr(start + kParameter.size());
  const auto digits = rest.substr(0, rest.find_first_not_of("0123456789"));
  constexpr std::uint64_t kMaxSeconds = std::chrono::seconds(kMaxIdleTimeout).count();
  return std::chrono::seconds(std::min(ReadCount(digits).value_or(0), kMaxSeconds));
}

} // namespace

ClientConnection::ClientConnection(asio::io_context& aContext,
                                   std::chrono::milliseconds aConnectTimeout,
                                   std::chrono::milliseconds aResetWait)
  : mSocket(aContext)
  , mConnectTimer(aContext)
  , mConnectTimeout(aConnectTimeout)
  , mResetWait(aResetWait)
{
}

void ClientConnection::Send(const asio::ip::tcp::endpoint& aAddress,
                            std::string aHead,
                            std::shared_ptr<const std::string> aBody,
                            const std::shared_ptr<ResponseListener>& aListener)
{
  mHead = std::move(aHead);
  mBody = std::move(aBody);
  mListener = aListener;
  mReader = std::make_unique<ResponseReader>(IsHeadRequest(mHead));
  mUnparsed.clear();
  mOnIdleClosed = nullptr;
  mIsHeadHandled = false;
  mIsSkipped = false;
  mHasWriteFailed = false;
  mSkippedResponses = 0;
  mSkippedBytes = 0;
  mIsBusy = true;
  if (mIsOpen) {
    Write();
    return;
  }
  mConnectTimer.expires_after(mConnectTimeout);
  mConnectTimer.async_wait([self = shared_from_this()](const ErrorCode& aError) {
    if (!aError && !self->mIsOpen) {
      self->Fail(ConnectionFailure::NotConnected);
    }
  });
  mSocket.async_connect(
    aAddress, [self = shared_from_this()](const ErrorCode& aError) { self->OnConnected(aError); });
}

void ClientConnection::RecordRequestId(std::string_view aId)
{
  mCarriedIds.push_back(StableHash(aId));
  if (mCarriedIds.size() > kMaxCarriedIds) {
    mCarriedIds.pop_front();
  }
}

bool ClientConnection::HasCarried(std::string_view aId) const
{
  return std::find(mCarriedIds.begin(), mCarriedIds.end(), StableHash(aId)) != mCarriedIds.end();
}

void ClientConnection::OnConnected(const ErrorCode& aError)
{
  if (!mIsBusy) {
    return;
  }
  mConnectTimer.cancel();
  if (aError) {
    Fail(ConnectionFailure::NotConnected);
    return;
  }
  ConfigureSocket(mSocket);
  mIsOpen = true;
  if (mResetWait.count() > 0) {
    WaitForReset();
  } else {
    Write();
  }
}

/** Sends the request after mResetWait. The connection fails as reset if the server closes it, or
    sends bytes, before then. */
void ClientConnection::WaitForReset()
{
  mIsWaitingForReset = true;
  WaitForBytes();
  mConnectTimer.expires_after(mResetWait);
  mConnectTimer.async_wait([self = shared_from_this()](const ErrorCode& aError) {
    if (!aError && self->mIsOpen && self->mIsWaitingForReset) {
      self->mIsWaitingForReset = false;
      self->Write();
    }
  });
}

void ClientConnection::Write()
{
  if (const auto listener = mListener.lock(); listener && !listener->OnSending()) {
    return;
  }
  mIsWriting = true;
  std::array<asio::const_buffer, 2> buffers{ asio::buffer(mHead),
                                             mBody ? asio::buffer(*mBody) : asio::const_buffer() };
  asio::async_write(
    mSocket, buffers, [self = shared_from_this()](const ErrorCode& aError, std::size_t) {
      // A write error does not end the request: the read side sees the closed connection, possibly
      // after a response that the server sent first.
      self->mIsWriting = false;
      self->mHasWriteFailed = aError.failed();
    });
  WaitForBytes();
}

void ClientConnection::WaitForBytes()
{
  if (mIsReading || !mIsOpen) {
    return;
  }
  mIsReading = true;
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const ErrorCode& aError) {
                       self->mIsReading = false;
                       self->OnReadable(aError);
                     });
}

void ClientConnection::OnReadable(const ErrorCode& aError)
{
  if (!mIsOpen || aError == asio::error::operation_aborted) {
    return;
  }
  ErrorCode ec = aError;
  auto& buffer = ReadBuffer();
  const auto count = ec ? 0 : mSocket.read_some(asio::buffer(buffer), ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again) {
    WaitForBytes();
    return;
  }
  if (mIsWaitingForReset) {
    mIsWaitingForReset = false;
    Fail(ConnectionFailure::Reset);
    return;
  }
  if (ec) {
    OnConnectionEnded(ec == asio::error::eof);
    return;
  }
  if (!mIsBusy) {
    // Unsolicited bytes on an idle connection.
    OnConnectionEnded(false);
    return;
  }
  try {
    ParseWithRest({ buffer.data(), count });
  } catch (...) {
    // No further event would come for the request.
    Fail(ConnectionFailure::Malformed);
    throw;
  }
  WaitForBytes();
}

/** Parses bytes together with those that were left before. */
void ClientConnection::ParseWithRest(std::string_view aBytes)
{
  if (mUnparsed.empty()) {
    Parse(aBytes);
    return;
  }
  std::string bytes;
  bytes.swap(mUnparsed);
  bytes.append(aBytes);
  Parse(bytes);
}

void ClientConnection::Parse(std::string_view aBytes)
{
  const auto self = shared_from_this();
  while (mIsBusy && !aBytes.empty()) {
    const auto taken = mReader->Feed(aBytes);
    aBytes.remove_prefix(taken);
    if (mReader->IsMalformed()) {
      Fail(ConnectionFailure::Malformed);
      return;
    }
    if (!NotifyListener()) {
      return;
    }
    if (mReader->IsDone()) {
      // Bytes after a complete response make the connection unusable for another request.
      if (!mIsSkipped && !aBytes.empty()) {
        mIsOpen = false;
      }
      if (FinishResponse()) {
        return;
      }
    } else if (taken == 0) {
      break;
    }
  }
  if (!mIsBusy) {
    return;
  }
  if (aBytes.size() > kMaxUnparsedBytes) {
    Fail(ConnectionFailure::Malformed);
    return;
  }
  mUnparsed.assign(aBytes);
}

/** Passes the response head and the body read so far to the listener.
    @returns false when the connection no longer serves the listener */
bool ClientConnection::NotifyListener()
{
  constexpr unsigned kFirstFinalStatus = 200;
  if (!mReader->HasHead()) {
    return true;
  }
  const auto listener = mListener.lock();
  if (!listener) {
    Close();
    return false;
  }
  if (!mIsHeadHandled) {
    mIsHeadHandled = true;
    mIdleTimeout = KeepAliveTimeout(mReader->Fields()[boost::beast::http::field::keep_alive]);
    mIsSkipped =
      mReader->Status() < kFirstFinalStatus || listener->OnHead(*mReader) == HeadChoice::Skip;
  }
  if (!mIsBusy) {
    return false;
  }
  auto body = mReader->TakeBody();
  if (mIsSkipped) {
    mSkippedBytes += body.size();
    return !FailIfSkippedTooMuch();
  }
  if (!body.empty()) {
    listener->OnBody(std::move(body));
  }
  return mIsBusy;
}

/** @returns whether the connection failed since the expected response does not come */
bool ClientConnection::FailIfSkippedTooMuch()
{
  if (mSkippedResponses <= kMaxSkippedResponses && mSkippedBytes <= kMaxSkippedBytes) {
    return false;
  }
  Fail(ConnectionFailure::Malformed);
  return true;
}

/** Handles the end of a response. A skipped response is discarded and the next one is read.
    @returns false when the response was skipped and the next one is awaited */
bool ClientConnection::FinishResponse()
{
  if (mIsSkipped) {
    mReader = std::make_unique<ResponseReader>(IsHeadRequest(mHead));
    mIsHeadHandled = false;
    mIsSkipped = false;
    ++mSkippedResponses;
    return FailIfSkippedTooMuch();
  }
  const bool reusable = mIsOpen && mReader->IsKeepAlive() && !mIsWriting;
  mIsBusy = false;
  const auto listener = mListener.lock();
  mListener.reset();
  if (!reusable) {
    Close();
  }
  if (listener) {
    listener->OnDone(reusable);
  }
  return true;
}

void ClientConnection::OnConnectionEnded(bool aIsEof)
{
  const auto self = shared_from_this();
  if (!mIsBusy) {
    const auto onClosed = std::move(mOnIdleClosed);
    mOnIdleClosed = nullptr;
    Close();
    if (onClosed) {
      onClosed();
    }
    return;
  }
  if (!aIsEof || !mReader->HasHead() || mIsSkipped) {
    Fail(ConnectionFailure::Closed);
    return;
  }
  if (mIsWriting) {
    // If a reset failed the write, its handler is queued already.
    asio::post(mSocket.get_executor(), [self] { self->FinishAtEof(); });
    return;
  }
  FinishAtEof();
}

/** Ends a response whose connection the server closed. A failed write has taken the socket's error,
    so that a reset looks like a proper close to the reads after it; a body that ends with its
    connection may be cut short then. */
void ClientConnection::FinishAtEof()
{
  if (!mIsBusy) {
    return;
  }
  const bool mayBeReset = mHasWriteFailed && mReader->EndsWithConnection();
  mReader->FeedEof();
  if (mayBeReset || mReader->IsMalformed() || !mReader->IsDone()) {
    Fail(ConnectionFailure::Closed);
    return;
  }
  mIsOpen = false;
  FinishResponse();
}

void ClientConnection::Fail(ConnectionFailure aFailure)
{
  const auto self = shared_from_this();
  const auto listener = mListener.lock();
  Close();
  if (listener) {
    listener->OnConnectionFailed(aFailure);
  }
}

/** Makes the system discard what it has not sent yet when the socket is closed. Otherwise it would
   go on sending, and the server would get a request that was given up. */
void ClientConnection::DiscardUnsentBytes()
{
  int unsent = 0;
  if (::ioctl(mSocket.native_handle(), SIOCOUTQNSD, &unsent) == 0 && unsent > 0) {
    ErrorCode ec;
    mSocket.set_option(asio::socket_base::linger(true, 0), ec);
  }
}

void ClientConnection::Close()
{
  if (mIsOpen && mIsBusy) {
    DiscardUnsentBytes();
  }
  mIsOpen = false;
  mIsBusy = false;
  mListener.reset();
  mOnIdleClosed = nullptr;
  mConnectTimer.cancel();
  ErrorCode ec;
  mSocket.close(ec);
}

void ClientConnection::WatchIdle(std::function<void()> aOnClosed)
{
  mOnIdleClosed = std::move(aOnClosed);
  WaitForBytes();
}

} // namespace skylarkchute
