#include "RouterFixture.h"

#include <catch2/catch.hpp>

namespace skylarkchute {

namespace {

using Fixture = RouterFixture;

DispatchStep OnlyDispatch(const RouterSteps& aSteps)
{
  const auto found = Fixture::StepsOf<DispatchStep>(aSteps);
  REQUIRE(found.size() == 1);
  return found.front();
}

RefuseStep OnlyRefusal(const RouterSteps& aSteps)
{
  const auto found = Fixture::StepsOf<RefuseStep>(aSteps);
  REQUIRE(found.size() == 1);
  return found.front();
}

} // namespace

TEST_CASE(
  "A request is dispatched to an endpoint that hosts its version and finishes with its answer")
{
  Fixture it;
  it.AddEngine("e1", { "dear-1" });
  it.AddEngine("e2", { "cheap-1" });
  auto facts = it.MakeFacts();
  facts.mModel = ModelName("dear");
  const auto step = OnlyDispatch(it.mRouter.Start(facts, it.mClock.Now()));
  REQUIRE(step.mEndpoint == EndpointId("e1"));
  REQUIRE(step.mLabel == "dear-1");
  REQUIRE(*step.mVersion == VersionId("dear/1"));
  const auto finish = Fixture::StepsOf<FinishStep>(it.End(step, AttemptEnd::Complete));
  REQUIRE(finish.size() == 1);
  REQUIRE(finish.front().mVerdict == Verdict::Ran);
}

TEST_CASE("A wrong key, an unknown class and a foreign service are refused as not run")
{
  Fixture it;
  it.AddEngine("e1", { "cheap-1" });
  auto facts = it.MakeFacts();
  facts.mApiKey = "key-other";
  auto refusal = OnlyRefusal(it.mRouter.Start(facts, it.mClock.Now()));
  REQUIRE(refusal.mHttpStatus == 401);
  REQUIRE(refusal.mVerdict == Verdict::NotRun);
  facts = it.MakeFacts();
  facts.mClass = ClassName("other");
  REQUIRE(OnlyRefusal(it.mRouter.Start(facts, it.mClock.Now())).mReason == "unknown-class");
  facts = it.MakeFacts();
  facts.mService = ServiceName("other");
  REQUIRE(OnlyRefusal(it.mRouter.Start(facts, it.mClock.Now())).mReason == "service-not-allowed");
}

TEST_CASE("A waiting request of a withdrawn version is moved when it is no session, else refused")
{
  Fixture it;
  it.AddEngine("e1", { "cheap-1" }, 1);
  it.AddEngine("e2", { "dear-1" }, 1);
  const auto busy = OnlyDispatch(it.mRouter.Start(it.MakeFacts(), it.mClock.Now()));
  REQUIRE(busy.mEndpoint == EndpointId("e1"));
  auto waiting = it.MakeFacts();
  auto session = it.MakeFacts();
  session.mPinnedVersion = VersionId("cheap/1");
  REQUIRE(Fixture::StepsOf<WaitStep>(it.mRouter.Start(waiting, it.mClock.Now())).size() == 1);
  REQUIRE(Fixture::StepsOf<WaitStep>(it.mRouter.Start(session, it.mClock.Now())).size() == 1);

  it.mBundle.mVersions[0].mState = VersionState::Withdrawn;
  const auto steps = it.ApplyBundle();
  REQUIRE(OnlyDispatch(steps).mRequest == waiting.mId);
  REQUIRE(*OnlyDispatch(steps).mVersion == VersionId("dear/1"));
  REQUIRE(OnlyRefusal(steps).mRequest == session.mId);
  REQUIRE(OnlyRefusal(steps).mReason == "version-withdrawn");
  REQUIRE(OnlyRefusal(steps).mVerdict == Verdict::NotRun);
}

TEST_CASE("A non-idempotent request is sent again only after a certain not-run")
{
  Fixture it;
  it.AddService("s1", "orders");
  it.AddService("s2", "orders");
  auto facts = it.MakeFacts();
  facts.mService = ServiceName("orders");
  facts.mClass = ClassName("order");
  const auto first = OnlyDispatch(it.mRouter.Start(facts, it.mClock.Now()));
  REQUIRE(Fixture::StepsOf<WaitStep>(it.End(first, AttemptEnd::ConnectFailed)).size() == 1);
  const auto second = OnlyDispatch(it.Run(std::chrono::milliseconds(100)));
  REQUIRE(second.mEndpoint != first.mEndpoint);
  const auto refusal = OnlyRefusal(it.End(second, AttemptEnd::Broken));
  REQUIRE(refusal.mVerdict == Verdict::MayHaveRun);
  REQUIRE(it.Run(std::chrono::seconds(2)).empty());
}

} // namespace skylarkchute
