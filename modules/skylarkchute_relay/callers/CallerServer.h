#pragma once

#include "CallerConnection.h"

#include <unordered_map>

namespace skylarkchute {

/** Accepts the connections of callers. */
class CallerServer
{
public:
  explicit CallerServer(RelayContext& aContext);

  /** Listens. @returns false when the address cannot be had */
  bool Listen(const boost::asio::ip::tcp::endpoint& aAddress);

  /** Returns the address listened on. */
  boost::asio::ip::tcp::endpoint Address() const { return mAcceptor.local_endpoint(); }

  /** Accepts no further connections. */
  void StopAccepting();

  /** Ends the connections that carry no request. */
  void CloseIdle();

  /** Returns whether any request is under way. */
  bool IsBusy() const;

private:
  void Accept();

  RelayContext& mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>> mSessions;
};

} // namespace skylarkchute
