#pragma once

#include "../RequestSink.h"
#include "BodyBudget.h"
#include "ConnectionRegistry.h"
#include "EntryOptions.h"
#include "RefusalLane.h"
#include "TlsIdentity.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>
#include <vector>

namespace skylarkchute {

/** Serves callers over HTTP: reads and checks requests, hands them to a sink, writes the answers.

    One thread a connection, within the bounds of the options. The order of a graceful stop:
    BeginLeaving, a pause for balancers to notice, StopAccepting, WaitForSessions. */
class HttpEntry
{
public:
  /** Begins to listen. Throws Poco::Exception when the address or certificate cannot be used.
      @param aSink  must outlive the entry */
  HttpEntry(EntryOptions aOptions, RequestSink& aSink);

  /** Stops without waiting for sessions beyond the one second that connections get to end. */
  ~HttpEntry();

  HttpEntry(const HttpEntry&) = delete;
  HttpEntry& operator=(const HttpEntry&) = delete;

  /** Returns the port listened on. */
  std::uint16_t Port() const { return mPort; }

  /** Makes `/readyz` fail; requests are still served. */
  void BeginLeaving();

  /** Refuses new connections, ends idle ones and lets every busy one finish its request.
      Requests that arrive on a connection before it ends are still served. */
  void StopAccepting();

  /** Waits until every connection has ended.
      @returns false when @p aTimeout passed before */
  bool WaitForSessions(std::chrono::milliseconds aTimeout);

  /** Returns how many connections there are. */
  std::size_t Connections() const { return mRegistry.Count(); }

  /** Returns how many connections were refused since the start. */
  std::uint64_t RefusedConnections() const { return mRefused; }

  /** Returns how often a changed certificate was taken up; zero without TLS. */
  std::uint64_t CertificateReloads() const { return mTls ? mTls->Reloads() : 0; }

  /** Returns how often a changed certificate could not be used; zero without TLS. */
  std::uint64_t FailedCertificateReloads() const { return mTls ? mTls->FailedReloads() : 0; }

  /** Returns what happened since the last call and is worth a log line: refused connections and
      changed certificates. For one thread. */
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

  bool MayAccept() const;

  const EntryOptions mOptions;
  std::atomic<bool> mLeaving{ false };
  std::atomic<bool> mStopped{ false };
  std::atomic<std::uint64_t> mRefused{ 0 };
  ReportedCounts mReported;
  BodyBudget mBodies;
  std::unique_ptr<TlsIdentity> mTls;
  RefusalLane mRefusals;
  ConnectionRegistry mRegistry;
  Poco::ThreadPool mPool;
  Poco::Net::ServerSocket mListener;
  std::uint16_t mPort = 0;
  std::unique_ptr<Poco::Net::TCPServer> mServer;
};

} // namespace skylarkchute
