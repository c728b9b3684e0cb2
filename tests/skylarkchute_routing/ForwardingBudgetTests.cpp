#include "FleetFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace skylarkchute;

TEST_CASE("fleet: a helper's repeats of a forwarded request count against the retry budget")
{
  // The second attempt counted as the first one, since the first had been counted elsewhere.
  FleetFixture helper;
  helper.AddEndpoints("e", 3);
  RelayRequest request;
  request.mHost = "site";
  request.mPath = "/check/1";
  request.mIsForwarded = true;
  auto plan = std::get<RequestPlan>(helper.mRouter.Admit(request, helper.mNow));
  helper.Run(plan, RelayOutcome::NotRun);
  CHECK(helper.mRouter.RetryUsages(helper.mNow)[ServiceName("svc")].mRepeats == 0);
  helper.Run(plan, RelayOutcome::NotRun);
  CHECK(helper.mRouter.RetryUsages(helper.mNow)[ServiceName("svc")].mRepeats == 1);
}

TEST_CASE("a crash of a third of many endpoints is not taken for a partition")
{
  constexpr std::size_t kEndpoints = 90;
  constexpr int kRequests = 2000;
  std::minstd_rand random(3);
  PeerForwarding forwarding;
  auto now = TimePoint{} + std::chrono::hours(1);
  int partitions = 0;
  for (int n = 0; n < kRequests; ++n, now += std::chrono::milliseconds(50)) {
    const auto endpoint = random() % kEndpoints;
    if (endpoint >= kEndpoints / 3) {
      forwarding.OnReached();
      continue;
    }
    forwarding.OnNotReached(EndpointId(std::to_string(endpoint)), kEndpoints, now);
    partitions += forwarding.IsPartitioned() ? 1 : 0;
  }
  CHECK(partitions <= kRequests / 500);
}

TEST_CASE("an instance that reaches no endpoint knows after a few, however many there are")
{
  const auto endpoints = GENERATE(std::size_t{ 2 }, std::size_t{ 12 }, std::size_t{ 900 });
  PeerForwarding forwarding;
  const auto now = TimePoint{} + std::chrono::hours(1);
  for (std::size_t n = 0; n < std::min<std::size_t>(endpoints, 8); ++n) {
    forwarding.OnNotReached(EndpointId(std::to_string(n)), endpoints, now);
  }
  CHECK(forwarding.IsPartitioned());
}
