#include "ControlServer.h"

#include "../net/SocketOptions.h"

#include <boost/asio/write.hpp>

#include <array>
#include <optional>

namespace skylarkchute {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

constexpr std::uint32_t kMaxHeadBytes = 16 * 1024;
constexpr std::uint32_t kMaxLines = 128;
constexpr std::size_t kReadBytes = 16 * 1024;

/** Bytes that the reader may leave for later: the beginning of a head, of a chunk's head or of a
    trailer. */
constexpr std::size_t kMaxUnparsedBytes = 32 * 1024;
constexpr std::chrono::seconds kIdleTimeout{ 30 };

/** From the first byte of a request until its response is written. Other instances give up a call
    after a few seconds. */
constexpr std::chrono::seconds kRequestTimeout{ 10 };

/** Delay before the next accept after a failed one, such as when no file descriptors are left. */
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

} // namespace

/** One connection. Pending network operations keep the object alive. */
class ControlServer::Session : public std::enable_shared_from_this<ControlServer::Session>
{
public:
  Session(asio::ip::tcp::socket aSocket, std::shared_ptr<Shared> aShared)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
    , mShared(std::move(aShared))
  {
    mAccount.emplace(mShared->mBudget, Now(), [this] { Close(); });
  }

  void Start()
  {
    ConfigureSocket(mSocket);
    BeginRequest();
    Wait();
  }

private:
  using Phase = CallerBudget::Phase;

  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  void BeginRequest()
  {
    mReader = std::make_unique<RequestReader>(kMaxHeadBytes, mShared->mBodyBytes, kMaxLines);
    mHasRequestBytes = false;
    ArmTimer(kIdleTimeout);
  }

  void ArmTimer(std::chrono::seconds aTime)
  {
    mTimer.expires_after(aTime);
    mTimer.async_wait([self = shared_from_this()](const ErrorCode& aError) {
      if (!aError) {
        self->Close();
      }
    });
  }

  /** @returns false when the session was closed since the budget is spent */
  bool Hold(Phase aPhase)
  {
    const auto reader = mReader ? mReader->HeadBytes() + mReader->BodyBytes() : 0;
    if (mAccount && !mAccount->Hold(aPhase, mReceived.size() + reader + mOutgoing.size(), Now())) {
      Close();
    }
    return mAccount.has_value();
  }

  void Wait()
  {
    mSocket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const ErrorCode& aError) { self->OnReadable(aError); });
  }

  void OnReadable(ErrorCode aError)
  {
    std::array<char, kReadBytes> buffer;
    const auto count = aError ? 0 : mSocket.read_some(asio::buffer(buffer), aError);
    if (aError == asio::error::would_block) {
      Wait();
      return;
    }
    if (aError) {
      Close();
      return;
    }
    if (mIsClosed) {
      return;
    }
    if (!std::exchange(mHasRequestBytes, true)) {
      ArmTimer(kRequestTimeout);
    }
    mReceived.append(buffer.data(), count);
    Parse();
  }

  void Parse()
  {
    const auto taken = mReader->Feed(mReceived);
    mReceived.erase(0, taken);
    if (mReader->Error() != RequestError::None) {
      Close();
      return;
    }
    if (!mReader->IsDone() && mReceived.size() > kMaxUnparsedBytes) {
      Close();
      return;
    }
    if (!Hold(Phase::Receiving)) {
      return;
    }
    if (!mReader->IsDone()) {
      Wait();
      return;
    }
    mIsKeepAlive = mReader->IsKeepAlive();
    const auto response = CallHandler();
    mOutgoing = "HTTP/1.1 " + std::to_string(response.mStatus) +
                " -\r\nContent-Type: " + response.mContentType +
                "\r\nContent-Length: " + std::to_string(response.mBody.size()) +
                (mIsKeepAlive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") + response.mBody;
    mReader.reset();
    if (!Hold(Phase::Sending)) {
      return;
    }
    asio::async_write(mSocket,
                      asio::buffer(mOutgoing),
                      [self = shared_from_this()](const ErrorCode& aError, std::size_t) {
                        self->OnWritten(aError);
                      });
  }

  ControlResponse CallHandler()
  {
    try {
      return mShared->mHandler({ mReader->Method(), mReader->Target(), mReader->TakeBody() });
    } catch (...) {
      Close();
      throw;
    }
  }

  void OnWritten(const ErrorCode& aError)
  {
    if (aError || !mIsKeepAlive || mIsClosed) {
      Close();
      return;
    }
    std::string().swap(mOutgoing);
    BeginRequest();
    if (!Hold(Phase::Idle)) {
      return;
    }
    if (mReceived.empty()) {
      Wait();
    } else {
      Parse();
    }
  }

  void Close()
  {
    ErrorCode ec;
    mIsClosed = true;
    mAccount.reset();
    mTimer.cancel();
    mSocket.close(ec);
  }

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::shared_ptr<Shared> mShared;
  std::optional<CallerBudget::Account> mAccount; /**< Until the session is closed. */
  std::unique_ptr<RequestReader> mReader;
  std::string mReceived;
  std::string mOutgoing;
  bool mIsKeepAlive = true;
  bool mHasRequestBytes = false;
  bool mIsClosed = false;
};

ControlServer::ControlServer(asio::io_context& aContext, Handler aHandler)
  : ControlServer(aContext, std::move(aHandler), Limits{})
{
}

ControlServer::ControlServer(asio::io_context& aContext, Handler aHandler, Limits aLimits)
  : mShared(new Shared{ std::move(aHandler), aLimits.mBodyBytes, CallerBudget(aLimits.mBounds) })
  , mAcceptor(aContext)
  , mRetryTimer(aContext)
{
}

bool ControlServer::Listen(const asio::ip::tcp::endpoint& aAddress)
{
  ErrorCode ec;
  mAcceptor.open(aAddress.protocol(), ec);
  mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
  mAcceptor.bind(aAddress, ec);
  if (!ec) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return false;
  }
  Accept();
  return true;
}

void ControlServer::Accept()
{
  mAcceptor.async_accept([this](const ErrorCode& aError, asio::ip::tcp::socket aSocket) {
    // The server may no longer exist.
    if (aError == asio::error::operation_aborted || !mAcceptor.is_open()) {
      return;
    }
    if (!aError) {
      Accept();
      if (mShared->mBudget.MayConnect(std::chrono::steady_clock::now())) {
        std::make_shared<Session>(std::move(aSocket), mShared)->Start();
      } else {
        ErrorCode ec;
        aSocket.close(ec);
      }
      return;
    }
    mRetryTimer.expires_after(kAcceptRetryDelay);
    mRetryTimer.async_wait([this](const ErrorCode& aCancelled) {
      if (!aCancelled) {
        Accept();
      }
    });
  });
}

} // namespace skylarkchute
