#pragma once

#include "../net/ClientConnection.h"

#include <skylarkchute_routing/fleet/Fleet.h>

#include <map>
#include <vector>

namespace skylarkchute {

/** Pool of idle keep-alive connections to endpoints. */
class EndpointPool
{
public:
  explicit EndpointPool(boost::asio::io_context& aContext);

  /** Returns an idle or a new connection for an attempt. An idle one that has carried a request
      with the same id is left alone, since a late copy of the answer to that one could not be told
      from the answer to this one.
      @param aRequireNew  always return a new connection. Required for requests that must not be
                          repeated: on a reused connection, a late response or a close by the
                          endpoint at the same moment would leave it unknown whether the request
                          ran. The new connection waits before it sends, so that a reset by an
                          endpoint at its connection limit is seen before the request is sent. */
  std::shared_ptr<ClientConnection> Acquire(const AttemptPlan& aAttempt,
                                            const std::string& aRequestId,
                                            bool aRequireNew);

  /** Returns a connection to the pool. Closes it instead when the endpoint already has its maximum
      of idle connections, or when its keep-alive timeout is too short. */
  void Release(const AttemptPlan& aAttempt, const std::shared_ptr<ClientConnection>& aConnection);

  /** Closes all idle connections to an endpoint. */
  void CloseIdleConnections(const EndpointId& aEndpoint);

  /** Closes the connections whose idle lifetime has passed. */
  void CloseExpired(TimePoint aNow);

private:
  struct Key
  {
    EndpointId mEndpoint;
    std::string mAddress;
    std::uint64_t mIncarnationStart = 0;
    auto operator<=>(const Key&) const = default;
  };

  struct IdleConnection
  {
    std::shared_ptr<ClientConnection> mConnection;
    TimePoint mExpiry{};
  };

  std::shared_ptr<ClientConnection> TakeIdle(const AttemptPlan& aAttempt,
                                             const std::string& aRequestId);
  void MakeRoom(const AttemptPlan& aAttempt);
  void RemoveIdle(const Key& aKey, const ClientConnection* aConnection);
  static std::size_t MaxIdle(const AttemptPlan& aAttempt);

  boost::asio::io_context& mContext;
  std::map<Key, std::vector<IdleConnection>> mIdle;
};

} // namespace skylarkchute
