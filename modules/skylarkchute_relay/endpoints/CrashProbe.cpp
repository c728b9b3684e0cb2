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

/** Delay before the probe connects. A crashing endpoint closes its connections before its listening
    socket, so an earlier probe could still succeed. */
constexpr milliseconds kProbeDelay{ 100 };

/** Limit for the connect. The round trip to an endpoint takes a few milliseconds. */
constexpr milliseconds kProbeTimeout{ 300 };

} // namespace

/** One probe. Its timer and socket keep the object alive until the result is known. */
class CrashProbe::Connection : public std::enable_shared_from_this<Connection>
{
public:
  /** @param aMayConnect  asked after the delay, since the zone may be evacuated by then
      @param aOnResult    gets whether the endpoint is up, or nothing if it was not contacted */
  Connection(asio::io_context& aLoop,
             std::function<bool()> aMayConnect,
             std::function<void(std::optional<bool>)> aOnResult)
    : mSocket(aLoop)
    , mTimer(aLoop)
    , mMayConnect(std::move(aMayConnect))
    , mOnResult(std::move(aOnResult))
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
    if (!mMayConnect()) {
      Finish(std::nullopt);
      return;
    }
    mTimer.expires_after(kProbeTimeout);
    mTimer.async_wait([self = shared_from_this()](const ErrorCode& aError) {
      if (!aError) {
        self->Finish(false);
      }
    });
    mSocket.async_connect(
      aAddress, [self = shared_from_this()](const ErrorCode& aError) { self->Finish(!aError); });
  }

  void Finish(std::optional<bool> aIsReachable)
  {
    if (!mOnResult) {
      return;
    }
    const auto onResult = std::exchange(mOnResult, {});
    mTimer.cancel();
    ErrorCode ec;
    mSocket.close(ec);
    onResult(aIsReachable);
  }

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::function<bool()> mMayConnect;
  std::function<void(std::optional<bool>)> mOnResult;
};

CrashProbe::CrashProbe(asio::io_context& aLoop, FleetRouter& aRouter, const EventLog& aLog)
  : mLoop(aLoop)
  , mRouter(aRouter)
  , mLog(aLog)
{
}

void CrashProbe::OnConnectionLost(const AttemptPlan& aAttempt)
{
  const auto incarnation = aAttempt.Incarnation();
  const auto address = ParseSocketAddress(aAttempt.mAddress);
  if (!address || !mRouter.Endpoints().MayContact(aAttempt.mEndpoint) ||
      !mActiveProbes.insert(incarnation).second) {
    return;
  }
  std::make_shared<Connection>(
    mLoop,
    [this, endpoint = aAttempt.mEndpoint] { return mRouter.Endpoints().MayContact(endpoint); },
    [this, endpoint = aAttempt.mEndpoint, incarnation](std::optional<bool> aIsReachable) {
      OnProbeResult(endpoint, incarnation, aIsReachable);
    })
    ->Start(*address);
}

void CrashProbe::OnProbeResult(const EndpointId& aEndpoint,
                               const std::string& aIncarnation,
                               std::optional<bool> aIsReachable)
{
  mActiveProbes.erase(aIncarnation);
  if (!aIsReachable) {
    return;
  }
  if (*aIsReachable) {
    mRouter.OnEndpointUp(aIncarnation);
    return;
  }
  const auto crashes =
    mRouter.OnEndpointDown(aEndpoint, aIncarnation, std::chrono::steady_clock::now());
  mLog.Write({ &kEndpointDown,
               { { "endpoint", aIncarnation }, { "requests", std::to_string(crashes.size()) } } });
}

} // namespace skylarkchute
