#include <skylarkchute_platform/skylarkchute_platform.h>

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

ObjectCall Write(std::uint64_t aId, CallPurpose aPurpose)
{
  return { aId, aPurpose, PutObject{ "key", "body", std::nullopt }, 2000ms };
}

ObjectReply Reply(std::uint64_t aId, ObjectStatus aStatus)
{
  ObjectReply reply;
  reply.mId = aId;
  reply.mStatus = aStatus;
  return reply;
}

CallRateLimiter::Options TenWritesPerSecond()
{
  CallRateLimiter::Options options;
  options.mFleetWritesPerSecond = 10;
  return options;
}

void CauseOutage(CallRateLimiter& aRateLimiter, TimePoint aNow)
{
  for (std::uint64_t n = 0; n < 5; ++n) {
    aRateLimiter.OnReply(Reply(n, ObjectStatus::Unavailable), aNow);
  }
}

} // namespace

TEST_CASE("writes over ten seconds stay within the rate and one burst")
{
  ManualClock clock;
  CallRateLimiter limiter(TenWritesPerSecond());
  std::size_t sent = 0;
  for (std::uint64_t n = 0; n < 1000; ++n) {
    sent += limiter.Submit(Write(n, CallPurpose::Status), clock.Now()).mSend.size();
    clock.Advance(10ms);
    sent += limiter.Tick(clock.Now()).mSend.size();
  }
  CHECK(sent <= 10 * 10 + 10);
  CHECK(sent >= 10 * 10 - 1);
}

TEST_CASE("claims leave before status writes that came first")
{
  ManualClock clock;
  CallRateLimiter limiter(TenWritesPerSecond());
  for (std::uint64_t n = 0; n < 10; ++n) {
    limiter.Submit(Write(n, CallPurpose::Status), clock.Now());
  }
  limiter.Submit(Write(100, CallPurpose::Status), clock.Now());
  limiter.Submit(Write(200, CallPurpose::Claim), clock.Now());
  clock.Advance(100ms);
  const auto output = limiter.Tick(clock.Now());
  REQUIRE(output.mSend.size() == 1);
  CHECK(output.mSend.front().mId == 200);
}

TEST_CASE("a call that cannot leave before its timeout is refused as unavailable")
{
  ManualClock clock;
  CallRateLimiter limiter(TenWritesPerSecond());
  for (std::uint64_t n = 0; n < 100; ++n) {
    limiter.Submit(Write(n, CallPurpose::Usage), clock.Now());
  }
  std::size_t refused = 0;
  std::size_t sent = 10;
  for (int n = 0; n < 30; ++n) {
    clock.Advance(100ms);
    const auto output = limiter.Tick(clock.Now());
    refused += output.mRefused.size();
    sent += output.mSend.size();
  }
  CHECK(refused + sent == 100);
  CHECK(refused > 0);
}

TEST_CASE("in an outage calls are refused at once but for probes")
{
  ManualClock clock;
  CallRateLimiter limiter(CallRateLimiter::Options{});
  CauseOutage(limiter, clock.Now());
  REQUIRE(limiter.IsOutage());
  std::size_t probes = 0;
  for (std::uint64_t n = 0; n < 600; ++n) {
    const auto output = limiter.Submit(Write(1000 + n, CallPurpose::Claim), clock.Now());
    CHECK(output.mSend.size() + output.mRefused.size() == 1);
    for (const auto& it : output.mSend) {
      ++probes;
      limiter.OnReply(Reply(it.mId, ObjectStatus::Unavailable), clock.Now());
    }
    clock.Advance(100ms);
  }
  CHECK(probes >= 5);
  CHECK(probes <= 30);
}

TEST_CASE("the first answer ends an outage and calls leave again")
{
  ManualClock clock;
  CallRateLimiter limiter(CallRateLimiter::Options{});
  CauseOutage(limiter, clock.Now());
  clock.Advance(10s);
  const auto probe = limiter.Submit(Write(1, CallPurpose::Claim), clock.Now());
  REQUIRE(probe.mSend.size() == 1);
  limiter.OnReply(Reply(1, ObjectStatus::Ok), clock.Now());
  CHECK_FALSE(limiter.IsOutage());
  CHECK(limiter.Submit(Write(2, CallPurpose::Claim), clock.Now()).mSend.size() == 1);
}

TEST_CASE("a conflict or a refusal for rate is no sign of an outage")
{
  ManualClock clock;
  CallRateLimiter limiter(CallRateLimiter::Options{});
  for (std::uint64_t n = 0; n < 20; ++n) {
    limiter.OnReply(Reply(n, ObjectStatus::Conflict), clock.Now());
    limiter.OnReply(Reply(n, ObjectStatus::Throttled), clock.Now());
  }
  CHECK_FALSE(limiter.IsOutage());
}
