#pragma once

#include "../http/RequestReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace skylarkchute {

/** One short request to this process itself. */
struct ControlRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
};

/** Its answer. */
struct ControlAnswer
{
  unsigned mStatus = 200;
  std::string mContentType = "text/plain";
  std::string mBody;
};

/** Answers requests that concern this process itself: readiness, metrics, other instances. */
class ControlServer
{
public:
  using Handler = std::function<ControlAnswer(const ControlRequest&)>;

  ControlServer(boost::asio::io_context& aContext, Handler aHandler);

  /** Listens. @returns false when the address cannot be had */
  bool Listen(const boost::asio::ip::tcp::endpoint& aAddress);

private:
  class Session;

  void Accept();

  std::shared_ptr<Handler> mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
};

} // namespace skylarkchute
