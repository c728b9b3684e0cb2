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

void CauseOutage(CallRateLimiter& aBudgeter, TimePoint aNow)
{
  for (std::uint64_t n = 0; n < 5; ++n) {
    aBudgeter.OnReply(Reply(n, ObjectStatus::Unavailable), aNow);
  }
}

} // namespace

TEST_CASE("writes over ten seconds stay within the rate and one burst")
{
  ManualClock clock;
  CallRateLimiter budgeter(TenWritesPerSecond());
  std::size_t sent = 0;
  for (std::uint64_t n = 0; n < 1000; ++n) {
    sent += budgeter.Submit(Write(n, CallPurpose::Status), clock.Now()).mSend.size();
    clock.Advance(10ms);
    sent += budgeter.Tick(clock.Now()).mSend.size();
  }
  CHECK(sent <= 10 * 10 + 10);
  CHECK(sent >= 10 * 10 - 1);
}

TEST_CASE("claims leave before status writes that came first")
{
  ManualClock clock;
  CallRateLimiter budgeter(TenWritesPerSecond());
  for (std::uint64_t n = 0; n < 10; ++n) {
    budgeter.Submit(Write(n, CallPurpose::Status), clock.Now());
  }
  budgeter.Submit(Write(100, CallPurpose::Status), clock.Now());
  budgeter.Submit(Write(200, CallPurpose::Claim), clock.Now());
  clock.Advance(100ms);
  const auto output = budgeter.Tick(clock.Now());
  REQUIRE(output.mSend.size() == 1);
  CHECK(output.mSend.front().mId == 200);
}

TEST_CASE("a call that cannot leave before its timeout is refused as unavailable")
{
  ManualClock clock;
  CallRateLimiter budgeter(TenWritesPerSecond());
  for (std::uint64_t n = 0; n < 100; ++n) {
    budgeter.Submit(Write(n, CallPurpose::Usage), clock.Now());
  }
  std::size_t refused = 0;
  std::size_t sent = 10;
  for (int n = 0; n < 30; ++n) {
    clock.Advance(100ms);
    const auto output = budgeter.Tick(clock.Now());
    refused += output.mRefused.size();
    sent += output.mSend.size();
  }
  CHECK(refused + sent == 100);
  CHECK(refused > 0);
}

TEST_CASE("in an outage calls are refused at once but for probes")
{
  ManualClock clock;
  CallRateLimiter budgeter(CallRateLimiter::Options{});
  CauseOutage(budgeter, clock.Now());
  REQUIRE(budgeter.IsOutage());
  std::size_t probes = 0;
  for (std::uint64_t n = 0; n < 600; ++n) {
    const auto output = budgeter.Submit(Write(1000 + n, CallPurpose::Claim), clock.Now());
    CHECK(output.mSend.size() + output.mRefused.size() == 1);
    for (const auto& it : output.mSend) {
      ++probes;
      budgeter.OnReply(Reply(it.mId, ObjectStatus::Unavailable), clock.Now());
    }
    clock.Advance(100ms);
  }
  CHECK(probes >= 5);
  CHECK(probes <= 30);
}

TEST_CASE("the first answer ends an outage and calls leave again")
{
  ManualClock clock;
  CallRateLimiter budgeter(CallRateLimiter::Options{});
  CauseOutage(budgeter, clock.Now());
  clock.Advance(10s);
  const auto probe = budgeter.Submit(Write(1, CallPurpose::Claim), clock.Now());
  REQUIRE(probe.mSend.size() == 1);
  budgeter.OnReply(Reply(1, ObjectStatus::Ok), clock.Now());
  CHECK_FALSE(budgeter.IsOutage());
  CHECK(budgeter.Submit(Write(2, CallPurpose::Claim), clock.Now()).mSend.size() == 1);
}

TEST_CASE("a conflict or a refusal for rate is no sign of an outage")
{
  ManualClock clock;
  CallRateLimiter budgeter(CallRateLimiter::Options{});
  for (std::uint64_t n = 0; n < 20; ++n) {
    budgeter.OnReply(Reply(n, ObjectStatus::Conflict), clock.Now());
    budgeter.OnReply(Reply(n, ObjectStatus::Throttled), clock.Now());
  }
  CHECK_FALSE(budgeter.IsOutage());
}
