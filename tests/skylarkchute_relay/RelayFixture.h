#pragma once

#include <boost/asio.hpp>
#include <skylarkchute_relay/callers/CallerServer.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** An endpoint on a loopback port that hands each whole request to a script. */
class FakeEndpoint
{
public:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;
  /** Gets the head and body received and the connection to answer on. */
  using Script = std::function<void(const std::string&, const Socket&)>;

  FakeEndpoint(boost::asio::io_context& aLoop, Script aScript);

  std::string Address() const;

  /** Accepts no further connections, like a process that has ended. */
  void StopListening();

  /** Requests received, heads with bodies. */
  std::vector<std::string> mRequests;
  std::size_t mConnections = 0;
  bool mResetsNew = false; /**< Resets new connections, as one that has too many. */

private:
  void Accept();
  void Read(const Socket& aSocket, const std::shared_ptr<std::string>& aBytes);

  boost::asio::ip::tcp::acceptor mAcceptor;
  std::string mAddress;
  Script mScript;
};

/** A relay's data path over loopback, with routes `/chat/` (resumable stream), `/order/`
    (non-idempotent) and `/check/` (idempotent) of host `site`, all public. */
class RelayFixture
{
public:
  RelayFixture();

  /** Adds an endpoint of the service behind every route. */
  void AddEndpoint(const std::string& aId, const std::string& aAddress);

  /** Opens a caller's connection. */
  std::shared_ptr<boost::asio::ip::tcp::socket> Connect();

  /** Runs the loop until the condition holds or five seconds have passed.
      @returns whether it holds */
  bool RunUntil(const std::function<bool()>& aCondition);

  /** Sends bytes on a connection and gathers what comes back. */
  void Send(const std::shared_ptr<boost::asio::ip::tcp::socket>& aSocket,
            const std::string& aBytes);
  std::shared_ptr<std::string> Gather(const std::shared_ptr<boost::asio::ip::tcp::socket>& aSocket);

  boost::asio::io_context mLoop{ 1 };
  EventLog mLog{ "test", LogFormat::Text, EventLevel::Error };
  MetricsRegistry mMetrics;
  FleetRouter mRouter;
  EndpointPool mPool{ mLoop };
  bool mIsLeaving = false;
  bool mRefusesNew = false;
  CrashProbe mCrashProbe{ mLoop, mRouter, mLog };
  StartQueue mStartQueue{ mLoop };
  RelayContext mContext{ mLoop, mRouter,  mPool,      mCrashProbe, mStartQueue,
                         mLog,  mMetrics, mIsLeaving, mRefusesNew };
  CallerServer mServer{ mContext };
  std::vector<bool> mEnded; /**< Of the connections gathered from, in order. */
};

/** Returns a request as callers send it. */
std::string CallerRequest(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aId,
                          const std::string& aBody = {});

/** Returns an endpoint's sealed answer to a request. */
std::string SealedAnswer(const std::string& aRequest, unsigned aStatus, const std::string& aBody);

/** Returns the head of an endpoint's sealed stream in chunks. */
std::string StreamHead(const std::string& aRequest);

/** Returns one event as a chunk. */
std::string EventChunk(int aId);

/** Writes bytes; the endpoint's scripts need no more. */
void WriteAll(const FakeEndpoint::Socket& aSocket, const std::string& aBytes);

} // namespace skylarkchute
