#include "CrashProbe.h"

#include "../events/RelayEvents.h"
#include "../net/SocketOptions.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace skylarkchute {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

/** A crashing endpoint closes its connections before its listening socket. */
constexpr milliseconds kProbeDelay{ 100 };

/** Endpoints are a few milliseconds away. */
constexpr milliseconds kProbeTimeout{ 300 };

} // namespace

/** One attempt to connect. Keeps itself alive until its outcome is known. */
class CrashProbe::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(asio::io_context& aLoop, std::function<void(bool)> aOnKnown)
    : mSocket(aLoop)
    , mTimer(aLoop)
    , mOnKnown(std::move(aOnKnown))
  {
  }

  void Start(const asio::ip::tcp::endpoint& aAddress)
  {
    mTimer.expires_after(kProbeDelay);
    mTimer.async_wait(
      [self = shared_from_this(), aAddress](const ErrorCode&) { self->Connect(aAddress); });
  }

private:
  void Connect(const asio::ip::tcp::endpoint& aAddress)
  {
    mTimer.expires_after(kProbeTimeout);
    mTimer.async_wait([self = shared_from_this()](const ErrorCode& aError) {
      if (!aError) {
        self->Finish(false);
      }
    });
    mSocket.async_connect(
      aAddress, [self = shared_from_this()](const ErrorCode& aError) { self->Finish(!aError); });
  }

  void Finish(bool aIsUp)
  {
    if (!mOnKnown) {
      return;
    }
    const auto onKnown = std::exchange(mOnKnown, {});
    mTimer.cancel();
    ErrorCode ec;
    mSocket.close(ec);
    onKnown(aIsUp);
  }

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::function<void(bool)> mOnKnown;
};

CrashProbe::CrashProbe(asio::io_context& aLoop, FleetRouter& aRouter, const EventLog& aLog)
  : mLoop(aLoop)
  , mRouter(aRouter)
  , mLog(aLog)
{
}

void CrashProbe::OnLost(const RequestPlan& aPlan, const AttemptPlan& aAttempt)
{
  const auto incarnation = aAttempt.mEndpoint.Value() + '~' + std::to_string(aAttempt.mBorn);
  mRouter.Suspects().OnLost({ aPlan.mFingerprint, incarnation }, std::chrono::steady_clock::now());
  const auto address = ReadSocketAddress(aAttempt.mAddress);
  if (!address || !mUnderWay.insert(incarnation).second) {
    return;
  }
  std::make_shared<Connection>(mLoop,
                               [this, endpoint = aAttempt.mEndpoint, incarnation](bool aIsUp) {
                                 OnKnown(endpoint, incarnation, aIsUp);
                               })
    ->Start(*address);
}

void CrashProbe::OnKnown(const EndpointId& aEndpoint, const std::string& aIncarnation, bool aIsUp)
{
  mUnderWay.erase(aIncarnation);
  if (aIsUp) {
    mRouter.Suspects().OnEndpointUp(aIncarnation);
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto crashes = mRouter.Suspects().OnEndpointDown(aIncarnation, now);
  if (auto* row = mRouter.Endpoints().Find(aEndpoint)) {
    row->mHealth.OnUnreachable(now);
  }
  mLog.Write({ &kEndpointDown,
               { { "endpoint", aIncarnation }, { "requests", std::to_string(crashes.size()) } } });
}

} // namespace skylarkchute
