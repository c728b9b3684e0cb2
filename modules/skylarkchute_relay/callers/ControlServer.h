#pragma once

#include "../http/RequestReader.h"
#include "CallerBudget.h"

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

  /** Limits of one server, over all its connections and for each request. */
  struct Limits
  {
    static constexpr std::size_t kDefaultBytes = 4 * 1024 * 1024;
    static constexpr std::size_t kDefaultConnections = 320;
    static constexpr std::uint32_t kDefaultBodyBytes = 512 * 1024;

    CallerBudget::Bounds mBounds{ kDefaultBytes, kDefaultConnections };
    std::uint32_t mBodyBytes = kDefaultBodyBytes;
  };

  ControlServer(boost::asio::io_context& aContext, Handler aHandler);
  ControlServer(boost::asio::io_context& aContext, Handler aHandler, Limits aLimits);

  /** Starts listening.
      @returns false when the address cannot be bound */
  bool Listen(const boost::asio::ip::tcp::endpoint& aAddress);

  /** What the connections hold; also counts those that were ended. */
  CallerBudget& Budget() { return mShared->mBudget; }

private:
  class Session;

  /** Used by the sessions, which may outlive the server. */
  struct Shared
  {
    Handler mHandler;
    std::uint32_t mBodyBytes;
    CallerBudget mBudget;
  };

  void Accept();

  std::shared_ptr<Shared> mShared;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
};

} // namespace skylarkchute
