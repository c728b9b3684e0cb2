#include "AttemptFixture.h"

#include <standins/rating/RatingStandIn.h>

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace skylarkchute::tests;
using namespace std::chrono_literals;
using standins::EngineStandIn;
using standins::RatingStandIn;

namespace {

EndpointRecord RecordOf(const EngineStandIn& aEngine)
{
  EndpointRecord record;
  record.mId = EndpointId("engine-1");
  record.mAddress = "127.0.0.1";
  record.mPort = aEngine.Port();
  return record;
}

OrderResult Order(const EngineStandIn& aEngine, const std::string& aLabel, std::uint64_t aFence)
{
  return SendEndpointOrder({ "127.0.0.1", aEngine.Port(), OrderKind::Load, aLabel, aFence }, 10s);
}

RatingRequest Rating(const RatingStandIn& aRater, const std::string& aAnswer)
{
  return { "127.0.0.1", aRater.Port(), "{}", aAnswer, "small/1" };
}

} // namespace

TEST_CASE("an endpoint's load report is read")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"leaving":true})");
  const auto report = PollLoad(RecordOf(engine), 10s);
  REQUIRE(report);
  CHECK(report->mEndpoint == EndpointId("engine-1"));
  CHECK(report->mSlots == 8);
  CHECK(report->mLeaving);
  CHECK(report->mHostedLabels == std::vector<std::string>{ "small-1" });
}

TEST_CASE("an endpoint that cannot be reached gives no load report")
{
  EndpointRecord record;
  record.mAddress = "127.0.0.1";
  record.mPort = 1;
  CHECK_FALSE(PollLoad(record, 1s));
}

TEST_CASE("an engine that checks fencing refuses older orders, one that does not takes them")
{
  auto options = EngineOptions();
  options.mLoadTime = 0ms;
  const EngineStandIn checking(options);
  CHECK(Order(checking, "small-2", 7) == OrderResult::Accepted);
  CHECK(Order(checking, "small-2", 7) == OrderResult::Accepted);
  CHECK(Order(checking, "small-3", 6) == OrderResult::Stale);
  CHECK(PollLoad(RecordOf(checking), 10s)->mHostedLabels.size() == 2);

  options.mChecksFencing = false;
  const EngineStandIn notChecking(options);
  CHECK(Order(notChecking, "small-2", 7) == OrderResult::Accepted);
  CHECK(Order(notChecking, "small-3", 6) == OrderResult::Accepted);
}

TEST_CASE("ratings are read, and a rater that is down gives none")
{
  RatingStandIn rater(0);
  CHECK(RequestRating(Rating(rater, "small-1 good answer"), 10s) == Approx(0.9));
  CHECK(RequestRating(Rating(rater, "small-1 bad answer"), 10s) == Approx(0.1));
  rater.UpdateSwitches(R"({"outage":true})");
  CHECK_FALSE(RequestRating(Rating(rater, "small-1 good answer"), 10s));
  rater.UpdateSwitches(R"({"outage":false,"slow_ms":500})");
  CHECK_FALSE(RequestRating(Rating(rater, "small-1 good answer"), 50ms));
}

TEST_CASE("every event of the module has its own number in the module's range")
{
  std::set<std::uint16_t> numbers;
  for (const auto* it : EndpointsEvents()) {
    CHECK(it->mNumber / 100 == 7);
    CHECK(numbers.insert(it->mNumber).second);
  }
}
