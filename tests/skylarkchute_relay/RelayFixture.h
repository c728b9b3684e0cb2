#pragma once

#include <boost/asio.hpp>
#include <skylarkchute_relay/callers/CallerServer.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** HTTP endpoint on a loopback port that passes each complete request to a callback. */
class FakeEndpoint
{
public:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;
  /** Receives the request, head and body, and the connection to respond on. */
  using RequestHandler = std::function<void(const std::string&, const Socket&)>;

  FakeEndpoint(boost::asio::io_context& aLoop, RequestHandler aHandler);

  std::string Address() const;

  /** Closes the listening socket, as when the process exits. */
  void StopListening();

  /** Requests received, each with head and body. */
  std::vector<std::string> mRequests;
  std::size_t mConnections = 0;
  bool mResetsNewConnections = false; /**< Resets new connections, as an endpoint at its
                                             connection limit does. */

private:
  void Accept();
  void Read(const Socket& aSocket, const std::shared_ptr<std::string>& aBytes);

  boost::asio::ip::tcp::acceptor mAcceptor;
  std::string mAddress;
  RequestHandler mHandler;
};

/** The request path of a relay over loopback, with routes `/chat/` (resumable stream), `/order/`
    (non-idempotent) and `/check/` (idempotent) of host `site`, all public. */
class RelayFixture
{
public:
  RelayFixture();

  /** Adds an endpoint of the service behind every route. */
  void AddEndpoint(const std::string& aId, const std::string& aAddress);

  /** Opens a connection to the relay, as a caller does. */
  std::shared_ptr<boost::asio::ip::tcp::socket> Connect();

  /** Runs the loop until the condition holds or five seconds have passed.
      @returns whether it holds */
  bool RunUntil(const std::function<bool()>& aCondition);

  /** Sends bytes on a connection. */
  void Send(const std::shared_ptr<boost::asio::ip::tcp::socket>& aSocket,
            const std::string& aBytes);

  /** Starts to receive on a connection.
      @returns the bytes received so far; it grows while the loop runs */
  std::shared_ptr<std::string> ReceiveAsync(
    const std::shared_ptr<boost::asio::ip::tcp::socket>& aSocket);

  AnswerMemory mAnswerMemory; /**< Used by requests that live in the loop's handlers. */
  boost::asio::io_context mLoop{ 1 };
  EventLog mLog{ "test", LogFormat::Text, EventLevel::Error };
  MetricsRegistry mMetrics;
  FleetRouter mRouter;
  EndpointPool mPool{ mLoop };
  bool mIsLeaving = false;
  bool mRefusesNew = false;
  CrashProbe mCrashProbe{ mLoop, mRouter, mLog };
  StartupQueue mStartupQueue{ mLoop };
  RelayContext mContext{ mLoop,         mRouter, mPool,    mCrashProbe, mStartupQueue,
                         mAnswerMemory, mLog,    mMetrics, mIsLeaving,  mRefusesNew };
  CallerServer mServer{ mContext };
  std::vector<bool> mIsClosed; /**< One per ReceiveAsync() call, in order. */
};

/** Returns a caller's request with a deadline of 3000 ms. */
std::string CallerRequest(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aId,
                          const std::string& aBody = {});

/** Returns an endpoint's response to a request, with the request's ID and a seal. */
std::string SealedResponse(const std::string& aRequest, unsigned aStatus, const std::string& aBody);

/** Returns the response head of an endpoint's chunked event stream, with request ID and seal. */
std::string StreamResponseHead(const std::string& aRequest);

/** Returns one event of a stream, framed as a chunk. */
std::string EventChunk(int aId);

/** Writes all bytes; errors are ignored, since the peer may have closed the connection. */
void WriteAll(const FakeEndpoint::Socket& aSocket, const std::string& aBytes);

} // namespace skylarkchute
