#pragma once

#include "CallerConnection.h"

#include <unordered_map>

namespace skylarkchute {

/** Accepts and owns the callers' connections, or those of instances that forward requests. */
class CallerServer
{
public:
  /** @param aGuard  limits that may be shared by several servers */
  explicit CallerServer(RelayContext& aContext,
                        RequestOrigin aOrigin = RequestOrigin::Caller,
                        std::shared_ptr<CallerGuard> aGuard = std::make_shared<CallerGuard>());

  /** Starts listening.
      @returns false when the address cannot be bound */
  bool Listen(const boost::asio::ip::tcp::endpoint& aAddress);

  /** Returns the local address, with the actual port if Listen() was given port 0. */
  boost::asio::ip::tcp::endpoint Address() const { return mAcceptor.local_endpoint(); }

  /** Accepts the connections in the queue and closes the listening socket. Open connections are
      kept. */
  void StopAccepting();

  /** Refuses the requests that have arrived and are not being served, and closes the connections
      that have none. To be called again and again while the process stops. */
  void RefuseUnread();

  /** Ends the requests in progress with a final response, because the process exits.
      @returns their number */
  std::size_t EndRequests();

  /** Returns whether any connection has a request in progress. */
  bool IsBusy() const;

private:
  void Accept();
  void StartConnection(boost::asio::ip::tcp::socket aSocket);

  RelayContext& mContext;
  RequestOrigin mOrigin;
  std::shared_ptr<CallerGuard> mGuard;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>> mConnections;
};

} // namespace skylarkchute
