#include "FleetFixture.h"

#include <catch2/catch.hpp>

namespace skylarkchute {

using std::chrono::milliseconds;

namespace {

RelayRoute Route(const std::string& aName, RequestKind aKind, std::uint32_t aPriority)
{
  RelayRoute route;
  route.mName = aName;
  route.mHost = "site";
  route.mPathPrefix = "/" + aName + "/";
  route.mKind = aKind;
  route.mTargets = { { ServiceName("svc"), 1 } };
  route.mTimeout = milliseconds(8000);
  route.mTargetLatency = milliseconds(2000);
  route.mPriority = aPriority;
  route.mMaxAttempts = aKind == RequestKind::NonIdempotent ? 1 : 3;
  route.mPublic = true;
  if (aKind == RequestKind::Stream) {
    route.mResumable = true;
    route.mSizes = { ModelName("small"), ModelName("medium"), ModelName("large") };
  }
  return route;
}

FleetBounds TestBounds()
{
  return { { 0.9, 50, milliseconds(10000) }, { 0.15, 30 }, milliseconds(5000) };
}

} // namespace

FleetFixture::FleetFixture(const std::string& aZone, std::uint64_t aSeed, bool aIsEngine)
  : mRouter(IncarnationId("own~1"), ZoneName(aZone), TestBounds(), aSeed)
{
  RelayConfig config;
  config.mVersion = 1;
  config.mRoutes = { Route("chat", RequestKind::Stream, 0),
                     Route("note", RequestKind::Stream, 1),
                     Route("order", RequestKind::NonIdempotent, 2),
                     Route("check", RequestKind::Idempotent, 2) };
  RelayService service;
  service.mName = ServiceName("svc");
  service.mEngineSlots = aIsEngine ? 64 : 0;
  service.mMaxConnections = 90;
  config.mServices = { service };
  mRouter.SetConfig(std::make_shared<const ConfigIndex>(std::move(config)));
}

void FleetFixture::AddEndpoints(const std::string& aPrefix, int aCount, const std::string& aVersion)
{
  for (int i = 0; i < aCount; ++i) {
    FleetEndpoint endpoint;
    endpoint.mId = EndpointId(aPrefix + std::to_string(i));
    endpoint.mService = ServiceName("svc");
    endpoint.mAddress = "10.0.0." + std::to_string(i) + ":1";
    endpoint.mZone = ZoneName(i % 2 == 0 ? "a" : "b");
    endpoint.mVersion = aVersion;
    endpoint.mSlots = 64;
    mRouter.Endpoints().Upsert(endpoint);
  }
}

RequestPlan FleetFixture::Admit(const std::string& aPath, const std::string& aSubject)
{
  RelayRequest request;
  request.mHost = "site";
  request.mPath = aPath;
  request.mModel = "*";
  if (!aSubject.empty()) {
    request.mPromptParts = { "system", aSubject, "own" };
  }
  auto admitted = mRouter.Admit(request, mNow);
  REQUIRE(std::holds_alternative<RequestPlan>(admitted));
  return std::get<RequestPlan>(admitted);
}

AttemptPlan FleetFixture::Attempt(RequestPlan& aPlan, bool aWantsLargest)
{
  auto decision = mRouter.NextAttempt(aPlan, aWantsLargest, mNow);
  REQUIRE(std::holds_alternative<AttemptPlan>(decision));
  return std::get<AttemptPlan>(decision);
}

AttemptPlan FleetFixture::Run(RequestPlan& aPlan, RelayOutcome aOutcome, milliseconds aFirstByte)
{
  auto attempt = Attempt(aPlan);
  mRouter.OnSent(aPlan, attempt, mNow);
  if (aOutcome == RelayOutcome::Answered) {
    mRouter.OnFirstByte(aPlan, attempt, aFirstByte, mNow);
  }
  mRouter.OnEnded(aPlan, attempt, aOutcome, mNow);
  return attempt;
}

void FleetFixture::OrderRollout(const std::string& aTarget,
                                milliseconds aPeriod,
                                RolloutState aState)
{
  static std::uint64_t revision = 1;
  mRouter.Rollouts().OnOrder(
    { ServiceName("svc"), aTarget, aPeriod, ++revision, aState }, mNow, milliseconds(0));
}

} // namespace skylarkchute
