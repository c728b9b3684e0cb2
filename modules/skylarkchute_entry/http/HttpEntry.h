#pragma once

#include "../RequestSink.h"
#include "BodyBudget.h"
#include "ConnectionRegistry.h"
#include "EntryOptions.h"
#include "RefusalSender.h"
#include "TlsContextProvider.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>
#include <vector>

namespace skylarkchute {

/** HTTP server for callers: reads and validates requests, submits them to a RequestSink and writes
    the answers.

    Uses one thread per connection, within the limits of EntryOptions. For a graceful stop, call
    BeginLeaving, pause until load balancers have noticed the failing readiness check, then call
    StopAccepting and WaitForConnections. */
class HttpEntry
{
public:
  /** Starts to listen. Throws Poco::Exception when the address or certificate cannot be used.
      @param aSink  must outlive the entry */
  HttpEntry(EntryOptions aOptions, RequestSink& aSink);

  /** Stops accepting and gives connections one second to end, then joins the thread pool. */
  ~HttpEntry();

  HttpEntry(const HttpEntry&) = delete;
  HttpEntry& operator=(const HttpEntry&) = delete;

  /** Returns the port listened on. */
  std::uint16_t Port() const { return mPort; }

  /** Makes `/readyz` fail; requests are still served. */
  void BeginLeaving();

  /** Refuses new connections, ends idle ones and lets each busy one finish its request.
      Requests that arrive on a connection before it ends are still served. */
  void StopAccepting();

  /** Waits until all connections are closed.
      @returns false when @p aTimeout expires first */
  bool WaitForConnections(std::chrono::milliseconds aTimeout);

  /** Returns the number of open connections. */
  std::size_t Connections() const { return mRegistry.Count(); }

  /** Returns the number of connections refused since the start. */
  std::uint64_t RefusedConnections() const { return mRefused; }

  /** Returns how often a changed certificate was loaded; zero without TLS. */
  std::uint64_t CertificateReloads() const { return mTls ? mTls->Reloads() : 0; }

  /** Returns how often loading a changed certificate failed; zero without TLS. */
  std::uint64_t FailedCertificateReloads() const { return mTls ? mTls->FailedReloads() : 0; }

  /** Returns the log events since the last call: refused connections and certificate reloads.
      Must always be called from the same thread. */
  std::vector<LogEvent> TakeEvents();

private:
  class Filter;
  class Factory;

  /** Counts as of the last TakeEvents. */
  struct ReportedCounts
  {
    std::uint64_t mRefused = 0;
    std::uint64_t mReloads = 0;
    std::uint64_t mFailedReloads = 0;
  };

  bool MayAccept();

  const EntryOptions mOptions;
  std::atomic<bool> mLeaving{ false };
  std::atomic<bool> mStopped{ false };
  std::atomic<std::uint64_t> mRefused{ 0 };
  ReportedCounts mReported;
  BodyBudget mBodyBudget;
  std::unique_ptr<TlsContextProvider> mTls;
  RefusalSender mRefusals;
  ConnectionRegistry mRegistry;
  Poco::ThreadPool mPool;
  Poco::Net::ServerSocket mListener;
  std::uint16_t mPort = 0;
  std::unique_ptr<Poco::Net::TCPServer> mServer;
};

} // namespace skylarkchute
