#include "EndpointPool.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** The round trip to an endpoint takes a few milliseconds; a connect that takes longer than this
    means that the host is down or unreachable. */
constexpr std::chrono::milliseconds kConnectTimeout{ 250 };

/** Idle connections expire after kIdleLifetime, or kIdleMargin before the endpoint's own keep-alive
    timeout if that is sooner. */
constexpr std::chrono::milliseconds kIdleLifetime{ 4000 };
constexpr std::chrono::milliseconds kIdleMargin{ 1000 };

constexpr std::size_t kMaxIdlePerEndpoint = 16;

/** Fraction of this instance's share of an endpoint's connections that may be idle. The rest is
    left for new connections, since an endpoint resets new connections beyond its limit. */
constexpr double kMaxIdleFraction = 0.5;

/** Wait on a new connection before it is used. An endpoint at its connection limit resets a new
    connection within one round trip. */
constexpr std::chrono::milliseconds kResetWait{ 4 };

} // namespace

EndpointPool::EndpointPool(boost::asio::io_context& aContext) : mContext(aContext) {}

std::shared_ptr<ClientConnection> EndpointPool::Acquire(const AttemptPlan& aAttempt,
                                                        const std::string& aRequestId,
                                                        bool aRequireNew)
{
  auto connection = aRequireNew ? nullptr : TakeIdle(aAttempt, aRequestId);
  if (!connection) {
    MakeRoom(aAttempt);
    const auto wait = aRequireNew ? kResetWait : std::chrono::milliseconds(0);
    const auto timeout = aAttempt.mConnectTimeout.value_or(kConnectTimeout);
    connection = std::make_shared<ClientConnection>(mContext, timeout, wait);
  }
  connection->RecordRequestId(aRequestId);
  return connection;
}

/** Returns the idle connection that was used last among those that may carry a request, or null. */
std::shared_ptr<ClientConnection> EndpointPool::TakeIdle(const AttemptPlan& aAttempt,
                                                         const std::string& aRequestId)
{
  const auto found =
    mIdle.find({ aAttempt.mEndpoint, aAttempt.mAddress, aAttempt.mIncarnationStart });
  if (found == mIdle.end()) {
    return nullptr;
  }
  const auto now = std::chrono::steady_clock::now();
  auto& idle = found->second;
  for (auto n = idle.size(); n-- > 0;) {
    const auto it = idle[n];
    const bool isUsable = it.mExpiry > now && it.mConnection->IsIdle();
    if (isUsable && it.mConnection->HasCarried(aRequestId)) {
      continue;
    }
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(n));
    if (isUsable) {
      return it.mConnection;
    }
    it.mConnection->Close();
  }
  return nullptr;
}

/** Closes the oldest idle connection if a new one would exceed the number that may be idle. */
void EndpointPool::MakeRoom(const AttemptPlan& aAttempt)
{
  const auto found =
    mIdle.find({ aAttempt.mEndpoint, aAttempt.mAddress, aAttempt.mIncarnationStart });
  if (found != mIdle.end() && found->second.size() >= MaxIdle(aAttempt)) {
    found->second.front().mConnection->Close();
    found->second.erase(found->second.begin());
  }
}

std::size_t EndpointPool::MaxIdle(const AttemptPlan& aAttempt)
{
  if (aAttempt.mConnectionLimit == 0) {
    return kMaxIdlePerEndpoint;
  }
  const auto share = static_cast<std::size_t>(kMaxIdleFraction * aAttempt.mConnectionLimit);
  return std::clamp<std::size_t>(share, 1, kMaxIdlePerEndpoint);
}

void EndpointPool::Release(const AttemptPlan& aAttempt,
                           const std::shared_ptr<ClientConnection>& aConnection)
{
  const Key key{ aAttempt.mEndpoint, aAttempt.mAddress, aAttempt.mIncarnationStart };
  auto& idle = mIdle[key];
  std::chrono::milliseconds lifetime = kIdleLifetime;
  if (aConnection->IdleTimeout().count() > 0) {
    lifetime =
      std::min<std::chrono::milliseconds>(lifetime, aConnection->IdleTimeout() - kIdleMargin);
  }
  if (idle.size() >= MaxIdle(aAttempt) || lifetime.count() <= 0) {
    aConnection->Close();
    return;
  }
  idle.push_back({ aConnection, std::chrono::steady_clock::now() + lifetime });
  aConnection->WatchIdle(
    [this, key, connection = aConnection.get()] { RemoveIdle(key, connection); });
}

void EndpointPool::RemoveIdle(const Key& aKey, const ClientConnection* aConnection)
{
  const auto found = mIdle.find(aKey);
  if (found == mIdle.end()) {
    return;
  }
  std::erase_if(found->second,
                [&](const auto& aIdle) { return aIdle.mConnection.get() == aConnection; });
}

void EndpointPool::CloseIdleConnections(const EndpointId& aEndpoint)
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    if (it->first.mEndpoint != aEndpoint) {
      ++it;
      continue;
    }
    for (const auto& idle : it->second) {
      idle.mConnection->Close();
    }
    it = mIdle.erase(it);
  }
}

void EndpointPool::CloseExpired(TimePoint aNow)
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    std::erase_if(it->second, [&](const auto& aIdle) {
      const bool isStale = aIdle.mExpiry <= aNow;
      if (isStale) {
        aIdle.mConnection->Close();
      }
      return isStale;
    });
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
}

} // namespace skylarkchute
