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

} // namespace

EndpointPool::EndpointPool(boost::asio::io_context& aContext) : mContext(aContext) {}

std::shared_ptr<ClientConnection> EndpointPool::Take(const AttemptPlan& aAttempt, bool aFresh)
{
  const auto found = mIdle.find({ aAttempt.mEndpoint, aAttempt.mAddress, aAttempt.mBorn });
  const auto now = std::chrono::steady_clock::now();
  while (!aFresh && found != mIdle.end() && !found->second.empty()) {
    const auto idle = found->second.back();
    found->second.pop_back();
    if (idle.mUntil > now && idle.mConnection->IsIdle()) {
      return idle.mConnection;
    }
    idle.mConnection->Close();
  }
  return std::make_shared<ClientConnection>(mContext, kConnectTimeout);
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
  if (idle.size() >= kMostIdlePerEndpoint || lifetime.count() <= 0) {
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
