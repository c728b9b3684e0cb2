#include "AttemptFixture.h"

#include <standins/weights/WeightStoreStandIn.h>

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace skylarkchute::tests;
using namespace std::chrono_literals;
using standins::EngineStandIn;
using standins::WeightStoreStandIn;

namespace {

JsonExchangeReply Get(std::uint16_t aPort, const std::string& aPath)
{
  return ExchangeJson({ "127.0.0.1", aPort, "GET", aPath, "", 10s });
}

} // namespace

TEST_CASE("the weight store refuses loads over its rate")
{
  WeightStoreStandIn::Options options;
  options.mLoadsPerSecond = 0.001;
  const WeightStoreStandIn store(options);
  CHECK(Get(store.Port(), "/v1/weights/small-1").mHttpStatus == 200);
  CHECK(Get(store.Port(), "/v1/weights/small-1").mHttpStatus == 429);
  CHECK(store.LoadCount("small-1") == 1);
  CHECK(store.RefusedLoadCount() == 1);
}

TEST_CASE("a full engine refuses as not run and the control path counts what ran")
{
  auto options = EngineOptions();
  options.mSlots = 1;
  options.mMaxQueued = 0;
  EngineStandIn engine(options);
  engine.UpdateSwitches(R"({"hang":true})");
  AttemptRunner runner({});
  const auto running = std::make_shared<RecordingListener>();
  runner.Submit(ChatAttempt(engine.Port(), "r.1", false), running);
  while (engine.Runs().empty()) {
    std::this_thread::yield();
  }
  const auto refused = std::make_shared<RecordingListener>();
  runner.Submit(ChatAttempt(engine.Port(), "r.2", false), refused);
  CHECK(refused->Wait().mOutcome.mVerdict == Verdict::NotRun);
  engine.UpdateSwitches(R"({"hang":false})");
  CHECK(running->Wait().mOutcome.mEnd == AttemptEnd::Complete);
  const auto records = Get(engine.Port(), "/standin/records");
  CHECK(records.mBody.find(R"("attempt":"r.1")") != std::string::npos);
  CHECK(records.mBody.find(R"("attempt":"r.2")") == std::string::npos);
}

TEST_CASE("an engine's answer depends on its label and its prompt alone")
{
  const auto words = standins::MakeWords("small-1", "prompt", true, 12);
  CHECK(words == standins::MakeWords("small-1", "prompt", true, 12));
  CHECK(words != standins::MakeWords("small-2", "prompt", true, 12));
  CHECK(words != standins::MakeWords("small-1", "other", true, 12));
}
