#include "HttpEntry.h"

#include "../events/EntryEvents.h"
#include "EntryConnection.h"

#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Thread.h>

#include <cassert>

namespace skylarkchute {

namespace {

constexpr int kBacklog = 256;

/** Poco shares a port by default: a second listener on it would get part of the connections. */
constexpr bool kReuseAddress = true;
constexpr bool kReusePort = false;
constexpr int kMinThreads = 2;
constexpr int kServiceUnavailable = 503;
constexpr int kPoolIdleSeconds = 60;
// Also the longest time that an idle thread takes to notice that the server has stopped.
constexpr int kThreadIdleMs = 500;
constexpr std::chrono::milliseconds kRetryAfter{ 1000 };
constexpr std::chrono::milliseconds kStopTimeout{ 1000 };
constexpr long kQueuePollMs = 5;

std::string RefusalResponse(bool aIsTls)
{
  if (aIsTls) {
    return "";
  }
  const ProblemReply problem{ kServiceUnavailable,
                              Verdict::NotRun,
                              "too-many-connections",
                              "the instance has reached its connection limit",
                              kRetryAfter };
  const auto body = problem.Json(RequestId());
  return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
         "Content-Type: application/problem+json\r\nSkylark-Verdict: not-run\r\nRetry-After: " +
         problem.RetryAfterSeconds() + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::unique_ptr<TlsContextProvider> MakeTls(const EntryOptions& aOptions)
{
  if (aOptions.mCertificateFile.empty()) {
    return nullptr;
  }
  return std::make_unique<TlsContextProvider>(aOptions.mCertificateFile, aOptions.mPrivateKeyFile);
}

} // namespace

/** Refuses connections beyond the limit before they occupy a thread. */
class HttpEntry::Filter final : public Poco::Net::TCPServerConnectionFilter
{
public:
  explicit Filter(HttpEntry& aEntry) : mEntry(aEntry) {}

  bool accept(const Poco::Net::StreamSocket& aSocket) override
  {
    if (mEntry.MayAccept()) {
      return true;
    }
    ++mEntry.mRefused;
    mEntry.mRefusals.Refuse(aSocket);
    return false;
  }

private:
  HttpEntry& mEntry;
};

class HttpEntry::Factory final : public Poco::Net::TCPServerConnectionFactory
{
public:
  Factory(HttpEntry& aEntry, RequestSink& aSink) : mEntry(aEntry), mSink(aSink) {}

  Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& aSocket) override
  {
    const EntryContext context{ mEntry.mOptions, mSink, mEntry.mBodyBudget, mEntry.mLeaving };
    return new EntryConnection(aSocket, context, mEntry.mRegistry, mEntry.mTls.get());
  }

private:
  HttpEntry& mEntry;
  RequestSink& mSink;
};

HttpEntry::HttpEntry(EntryOptions aOptions, RequestSink& aSink)
  : mOptions(std::move(aOptions))
  , mBodyBudget(mOptions.mMaxBodyBytesTotal)
  , mTls(MakeTls(mOptions))
  , mRefusals(RefusalResponse(mTls != nullptr))
  , mPool("callers", kMinThreads, mOptions.mMaxConnections + kMinThreads, kPoolIdleSeconds)
{
  assert(mOptions.mMaxConnections > 0);
  Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
  params->setMaxThreads(mOptions.mMaxConnections);
  params->setThreadIdleTime(Poco::Timespan(kThreadIdleMs * Poco::Timespan::MILLISECONDS));
  params->setMaxQueued(mOptions.mMaxConnections);
  mListener.bind(
    Poco::Net::SocketAddress(mOptions.mAddress, mOptions.mPort), kReuseAddress, kReusePort);
  mListener.listen(kBacklog);
  mPort = mListener.address().port();
  mServer = std::make_unique<Poco::Net::TCPServer>(
    Poco::Net::TCPServerConnectionFactory::Ptr(new Factory(*this, aSink)),
    mPool,
    mListener,
    params);
  mServer->setConnectionFilter(Poco::Net::TCPServerConnectionFilter::Ptr(new Filter(*this)));
  mServer->start();
}

HttpEntry::~HttpEntry()
{
  StopAccepting();
  WaitForConnections(kStopTimeout);
  mPool.joinAll();
}

void HttpEntry::BeginLeaving()
{
  mLeaving = true;
}

bool HttpEntry::MayAccept()
{
  const auto waiting = static_cast<std::size_t>(mServer->queuedConnections());
  if (mStopped) {
    return false;
  }
  // The new connection is queued until the thread of the one that was ended is free.
  return mRegistry.Count() + waiting < static_cast<std::size_t>(mOptions.mMaxConnections) ||
         mRegistry.EndLongestWaiting();
}

void HttpEntry::StopAccepting()
{
  mLeaving = true;
  if (mStopped.exchange(true)) {
    return;
  }
  // TCPServer::stop drops queued connections, so wait until threads have picked them up.
  while (mServer->queuedConnections() > 0) {
    Poco::Thread::sleep(kQueuePollMs);
  }
  mServer->stop();
  mListener.close();
  mRegistry.Drain();
}

std::vector<LogEvent> HttpEntry::TakeEvents()
{
  const ReportedCounts now{ RefusedConnections(),
                            CertificateReloads(),
                            FailedCertificateReloads() };
  std::vector<LogEvent> events;
  const auto addEvent =
    [&](const EventDescription& aEvent, std::uint64_t aBefore, std::uint64_t aNow) {
      if (aNow > aBefore) {
        events.push_back({ &aEvent, { { "count", std::to_string(aNow - aBefore) } } });
      }
    };
  addEvent(kConnectionsRefused, mReported.mRefused, now.mRefused);
  addEvent(kCertificateReloaded, mReported.mReloads, now.mReloads);
  addEvent(kCertificateUnusable, mReported.mFailedReloads, now.mFailedReloads);
  mReported = now;
  return events;
}

bool HttpEntry::WaitForConnections(std::chrono::milliseconds aTimeout)
{
  return mRegistry.WaitUntilEmpty(aTimeout);
}

} // namespace skylarkchute
