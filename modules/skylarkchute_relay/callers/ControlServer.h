#pragma once

#include "../http/RequestReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace skylarkchute {

/** An HTTP request addressed to this process itself. */
struct ControlRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
};

/** The response to a ControlRequest. */
struct ControlResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "text/plain";
  std::string mBody;
};

/** HTTP server for requests to this process itself: readiness, metrics, and messages from other
    instances. */
class ControlServer
{
public:
  using Handler = std::function<ControlResponse(const ControlRequest&)>;

  ControlServer(boost::asio::io_context& aContext, Handler aHandler);

  /** Starts listening.
      @returns false when the address cannot be bound */
  bool Listen(const boost::asio::ip::tcp::endpoint& aAddress);

private:
  class Session;

  void Accept();

  std::shared_ptr<Handler> mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
};

} // namespace skylarkchute
