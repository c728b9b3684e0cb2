#include "AttemptFixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace skylarkchute;
using namespace skylarkchute::tests;
using namespace std::chrono_literals;
using standins::EngineStandIn;

namespace {

class RecordingLoadListener final : public LoadPoller::Listener
{
public:
  void OnLoad(const LoadReport& aReport) override
  {
    const std::lock_guard lock(mMutex);
    ++mReports[aReport.mEndpoint];
    mLeaving[aReport.mEndpoint] = aReport.mLeaving;
    mChanged.notify_all();
  }

  void OnPollFailed(const EndpointId& aEndpoint) override
  {
    const std::lock_guard lock(mMutex);
    ++mMissing[aEndpoint];
    mChanged.notify_all();
  }

  /** Returns the count of an endpoint, read under the lock. */
  int Count(const std::map<EndpointId, int>& aCounts, const EndpointId& aEndpoint) const
  {
    const std::lock_guard lock(mMutex);
    const auto it = aCounts.find(aEndpoint);
    return it == aCounts.end() ? 0 : it->second;
  }

  template<typename Condition>
  void WaitUntil(Condition aCondition)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, aCondition);
  }

  std::map<EndpointId, int> mReports;
  std::map<EndpointId, int> mMissing;
  std::map<EndpointId, bool> mLeaving;

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
};

EndpointRecord Record(const std::string& aId, std::uint16_t aPort)
{
  EndpointRecord record;
  record.mId = EndpointId(aId);
  record.mAddress = "127.0.0.1";
  record.mPort = aPort;
  return record;
}

LoadPoller::Options QuickOptions()
{
  LoadPoller::Options options;
  options.mPeriod = 10ms;
  options.mMaxPeriod = 40ms;
  options.mTimeout = 5s;
  return options;
}

} // namespace

TEST_CASE("every endpoint is polled, a dead one does not keep the others back")
{
  EngineStandIn first(EngineOptions());
  const EngineStandIn second(EngineOptions());
  const auto loads = std::make_shared<RecordingLoadListener>();
  LoadPoller poller(QuickOptions(), loads);
  poller.SetEndpoints({ Record("a", first.Port()), Record("b", second.Port()), Record("c", 1) });
  const EndpointId a("a");
  const EndpointId b("b");
  const EndpointId c("c");
  loads->WaitUntil(
    [&] { return loads->mReports[a] > 3 && loads->mReports[b] > 3 && loads->mMissing[c] > 1; });
  CHECK(loads->Count(loads->mMissing, a) == 0);
  CHECK(loads->Count(loads->mMissing, b) == 0);
  CHECK(loads->Count(loads->mReports, c) == 0);

  first.UpdateSwitches(R"({"leaving":true})");
  loads->WaitUntil([&] { return loads->mLeaving[a] && !loads->mLeaving[b]; });
}

TEST_CASE("an endpoint that left the set is polled no more")
{
  const EngineStandIn engine(EngineOptions());
  const auto loads = std::make_shared<RecordingLoadListener>();
  LoadPoller poller(QuickOptions(), loads);
  const EndpointId gone("gone");
  const EndpointId kept("kept");
  poller.SetEndpoints({ Record("gone", engine.Port()), Record("kept", engine.Port()) });
  loads->WaitUntil([&] { return loads->mReports[gone] > 1; });
  poller.SetEndpoints({ Record("kept", engine.Port()) });
  const auto before = loads->Count(loads->mReports, gone);
  const auto keptBefore = loads->Count(loads->mReports, kept);
  loads->WaitUntil([&] { return loads->mReports[kept] > keptBefore + 5; });
  CHECK(loads->Count(loads->mReports, gone) <= before + 1);
}

TEST_CASE("the set may be replaced while the poller waits for a poll to be due")
{
  const EngineStandIn engine(EngineOptions());
  const auto loads = std::make_shared<RecordingLoadListener>();
  LoadPoller poller(QuickOptions(), loads);
  const EndpointId kept("kept");
  for (int n = 0; n < 200; ++n) {
    poller.SetEndpoints({ Record("kept", engine.Port()) });
    poller.SetEndpoints({ Record("other-" + std::to_string(n), engine.Port()) });
  }
  poller.SetEndpoints({ Record("kept", engine.Port()) });
  const auto before = loads->Count(loads->mReports, kept);
  loads->WaitUntil([&] { return loads->mReports[kept] > before + 3; });
  CHECK(loads->Count(loads->mMissing, kept) == 0);
}
