#pragma once

#include "../net/ClientConnection.h"

#include <skylarkchute_routing/fleet/Fleet.h>

#include <map>
#include <vector>

namespace skylarkchute {

/** Open connections to endpoints that wait for their next request. */
class EndpointPool
{
public:
  explicit EndpointPool(boost::asio::io_context& aContext);

  /** Returns a connection for an attempt.
      @param aFresh  never one that carried a request before: what it may still bring, or its end at
                     this very moment, would put a request in doubt that cannot be repeated. The new
                     one is used only after the time in which an endpoint that has too many
                     connections resets it. */
  std::shared_ptr<ClientConnection> Take(const AttemptPlan& aAttempt, bool aFresh);

  /** Keeps a connection for later requests. */
  void Return(const AttemptPlan& aAttempt, const std::shared_ptr<ClientConnection>& aConnection);

  /** Closes the idle connections to an endpoint. */
  void Drop(const EndpointId& aEndpoint);

  /** Closes connections that were idle for too long. */
  void CloseStale(TimePoint aNow);

private:
  struct Key
  {
    EndpointId mEndpoint;
    std::string mAddress;
    std::uint64_t mBorn = 0;
    auto operator<=>(const Key&) const = default;
  };

  struct Idle
  {
    std::shared_ptr<ClientConnection> mConnection;
    TimePoint mUntil{};
  };

  void Forget(const Key& aKey, const ClientConnection* aConnection);
  static std::size_t MostIdle(const AttemptPlan& aAttempt);

  boost::asio::io_context& mContext;
  std::map<Key, std::vector<Idle>> mIdle;
};

} // namespace skylarkchute
