#include "EndpointPool.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Endpoints are a few milliseconds away; a connection that takes longer is to a dark machine. */
constexpr std::chrono::milliseconds kConnectTimeout{ 250 };

/** Kept idle for at most this long, and always this much shorter than the endpoint says. */
constexpr std::chrono::milliseconds kIdleLifetime{ 4000 };
constexpr std::chrono::milliseconds kIdleMargin{ 1000 };

constexpr std::size_t kMostIdlePerEndpoint = 16;

/** Part of this instance's share of an endpoint's connections that may be idle; the rest is left to
    new ones, which are reset beyond the endpoint's bound. */
constexpr double kIdlePart = 0.5;

/** An endpoint that has too many connections resets a new one within a round trip. */
constexpr std::chrono::milliseconds kSettleTime{ 4 };

} // namespace

EndpointPool::EndpointPool(boost::asio::io_context& aContext) : mContext(aContext) {}

std::shared_ptr<ClientConnection> EndpointPool::Take(const AttemptPlan& aAttempt, bool aFresh)
{
  const auto found = mIdle.find({ aAttempt.mEndpoint, aAttempt.mAddress, aAttempt.mBorn });
  const auto now = std::chrono::steady_clock::now();
  if (aFresh) {
    // The new connection takes the place of an idle one.
    if (found != mIdle.end() && found->second.size() >= MostIdle(aAttempt)) {
      found->second.front().mConnection->Close();
      found->second.erase(found->second.begin());
    }
    return std::make_shared<ClientConnection>(mContext, kConnectTimeout, kSettleTime);
  }
  while (found != mIdle.end() && !found->second.empty()) {
    const auto idle = found->second.back();
    found->second.pop_back();
    if (idle.mUntil > now && idle.mConnection->IsIdle()) {
      return idle.mConnection;
    }
    idle.mConnection->Close();
  }
  return std::make_shared<ClientConnection>(mContext, kConnectTimeout);
}

std::size_t EndpointPool::MostIdle(const AttemptPlan& aAttempt)
{
  if (aAttempt.mConnections == 0) {
    return kMostIdlePerEndpoint;
  }
  const auto part = static_cast<std::size_t>(kIdlePart * aAttempt.mConnections);
  return std::clamp<std::size_t>(part, 1, kMostIdlePerEndpoint);
}

void EndpointPool::Return(const AttemptPlan& aAttempt,
                          const std::shared_ptr<ClientConnection>& aConnection)
{
  const Key key{ aAttempt.mEndpoint, aAttempt.mAddress, aAttempt.mBorn };
  auto& idle = mIdle[key];
  std::chrono::milliseconds lifetime = kIdleLifetime;
  if (aConnection->IdleTimeout().count() > 0) {
    lifetime =
      std::min<std::chrono::milliseconds>(lifetime, aConnection->IdleTimeout() - kIdleMargin);
  }
  if (idle.size() >= MostIdle(aAttempt) || lifetime.count() <= 0) {
    aConnection->Close();
    return;
  }
  idle.push_back({ aConnection, std::chrono::steady_clock::now() + lifetime });
  aConnection->WatchIdle([this, key, connection = aConnection.get()] { Forget(key, connection); });
}

void EndpointPool::Forget(const Key& aKey, const ClientConnection* aConnection)
{
  const auto found = mIdle.find(aKey);
  if (found == mIdle.end()) {
    return;
  }
  std::erase_if(found->second,
                [&](const auto& aIdle) { return aIdle.mConnection.get() == aConnection; });
}

void EndpointPool::Drop(const EndpointId& aEndpoint)
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

void EndpointPool::CloseStale(TimePoint aNow)
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    std::erase_if(it->second, [&](const auto& aIdle) {
      const bool isStale = aIdle.mUntil <= aNow;
      if (isStale) {
        aIdle.mConnection->Close();
      }
      return isStale;
    });
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
}

} // namespace skylarkchute
