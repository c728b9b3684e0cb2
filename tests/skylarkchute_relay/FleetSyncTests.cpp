#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/runtime/FleetSync.h>

using namespace skylarkchute;

namespace {

StoreObject MakeEndpoint(const std::string& aName,
                         std::uint64_t aRevision,
                         const std::string& aSpec)
{
  return {
    aName, aRevision, false, R"({"Metadata":{"Name":")" + aName + R"("},"Spec":)" + aSpec + "}"
  };
}

constexpr const char* kReady =
  R"({"Service":"svc","Address":"10.0.0.1:1","Zone":"a","Version":"v1","Slots":4,"State":"ready"})";

/** A mirror whose changes FleetSync applies to a router, as in the runtime. */
struct SyncFixture
{
  RelayFixture mRelay;
  FleetSync mSync{ mRelay.mRouter, mRelay.mPool, mRelay.mLog };
  StoreMirror mMirror{ [this](ObjectKind aKind, const StoreObject& aObject) {
    mSync.OnObject(aKind, aObject);
  } };
  TimePoint mNow{ std::chrono::hours(1) };

  bool HasEndpoint(const std::string& aName)
  {
    return mRelay.mRouter.Endpoints().Find(EndpointId(aName)) != nullptr;
  }
};

} // namespace

TEST_CASE("an endpoint that is removed after the store's return has left")
{
  // Guards against treating every removal after an outage as an entry that expired in the outage.
  // An endpoint that left 0.8 s after an outage was kept and received a request 2 s after it had
  // left.
  SyncFixture fixture;
  fixture.mMirror.Replace(
    ObjectKind::Endpoints, { 10, { MakeEndpoint("e1", 5, kReady) } }, fixture.mNow);
  fixture.mMirror.Replace(ObjectKind::Endpoints,
                          { 12, { MakeEndpoint("e1", 5, kReady) } },
                          fixture.mNow,
                          ListOrigin::AfterOutage);
  StorePage page;
  page.mAsOf = 13;
  page.mObjects = { { "e1", 5, true, "" } };
  fixture.mMirror.Apply(ObjectKind::Endpoints, page, fixture.mNow);
  CHECK_FALSE(fixture.HasEndpoint("e1"));
}

TEST_CASE("an endpoint that is missing in the first list after an outage may come back")
{
  SyncFixture fixture;
  fixture.mMirror.Replace(
    ObjectKind::Endpoints, { 10, { MakeEndpoint("e1", 5, kReady) } }, fixture.mNow);
  fixture.mMirror.Replace(ObjectKind::Endpoints, { 12, {} }, fixture.mNow, ListOrigin::AfterOutage);
  CHECK(fixture.HasEndpoint("e1"));
}

TEST_CASE("an endpoint entry that is not valid is ignored, the others stay in use")
{
  SyncFixture fixture;
  fixture.mMirror.Replace(ObjectKind::Endpoints,
                          { 10,
                            { MakeEndpoint("e1", 5, kReady),
                              MakeEndpoint("e2", 6, R"({"Service":"svc","Address":7})"),
                              MakeEndpoint("e3", 7, "null") } },
                          fixture.mNow);
  CHECK(fixture.HasEndpoint("e1"));
  CHECK_FALSE(fixture.HasEndpoint("e2"));
  CHECK_FALSE(fixture.HasEndpoint("e3"));
}

TEST_CASE("a mirror never goes back to an older state of the store")
{
  SyncFixture fixture;
  fixture.mMirror.Replace(
    ObjectKind::Endpoints, { 10, { MakeEndpoint("e1", 5, kReady) } }, fixture.mNow);
  fixture.mMirror.Replace(ObjectKind::Endpoints, { 9, {} }, fixture.mNow);
  CHECK(fixture.HasEndpoint("e1"));
  CHECK(fixture.mMirror.AsOf(ObjectKind::Endpoints) == 10);
}

namespace {

/** Returns an entry of an endpoint that started at 7, in an era of the store. */
StoreObject MakeStarted(std::uint64_t aEra,
                        std::uint64_t aRevision,
                        const std::string& aStart = "7")
{
  const std::string ready = kReady;
  return MakeEndpoint("e1",
                      MakeStoreVersion(aEra, aRevision),
                      ready.substr(0, ready.size() - 1) + R"(,"born":)" + aStart + "}");
}

bool IsOpen(SyncFixture& aFixture)
{
  return !aFixture.mRelay.mRouter.Endpoints().OpenRows(ServiceName("svc")).empty();
}

} // namespace

TEST_CASE("an entry that a copy of the store brings back does not open an endpoint that has left")
{
  SyncFixture fixture;
  auto& mirror = fixture.mMirror;
  const auto kind = ObjectKind::Endpoints;
  mirror.Replace(kind, { MakeStoreVersion(1, 10), { MakeStarted(1, 5) } }, fixture.mNow);
  CHECK(IsOpen(fixture));
  StorePage page;
  page.mAsOf = MakeStoreVersion(1, 13);
  page.mObjects = { { "e1", MakeStoreVersion(1, 13), true, "" } };
  mirror.Apply(kind, page, fixture.mNow);
  mirror.Replace(kind, { MakeStoreVersion(2, 9), { MakeStarted(2, 5) } }, fixture.mNow);
  CHECK_FALSE(IsOpen(fixture));
  mirror.Replace(kind, { MakeStoreVersion(3, 8), { MakeStarted(3, 5) } }, fixture.mNow);
  CHECK_FALSE(IsOpen(fixture));
  SECTION("it registers again")
  {
    mirror.Replace(kind, { MakeStoreVersion(3, 11), { MakeStarted(3, 11) } }, fixture.mNow);
    CHECK(IsOpen(fixture));
  }
  SECTION("it starts again")
  {
    mirror.Replace(kind, { MakeStoreVersion(3, 11), { MakeStarted(3, 11, "8") } }, fixture.mNow);
    CHECK(IsOpen(fixture));
    mirror.Replace(kind, { MakeStoreVersion(4, 12), { MakeStarted(4, 3, "8") } }, fixture.mNow);
    CHECK(IsOpen(fixture));
  }
}

TEST_CASE("EXPOSURE: a version gets nothing once the order that tries it is removed")
{
  // Guards against a rollout that goes on after the operator has taken its order back.
  SyncFixture fixture;
  auto& rollouts = fixture.mRelay.mRouter.Rollouts();
  const ServiceName service("svc");
  const StoreObject order{
    "svc",
    5,
    false,
    R"({"Metadata":{"Name":"svc"},"Spec":{"Service":"svc","Target":"v2","PeriodS":24}})"
  };
  const auto kind = ObjectKind::Rollouts;
  fixture.mMirror.Replace(kind, { 10, { order } }, fixture.mNow);
  REQUIRE(rollouts.Order(service) != nullptr);
  SECTION("by the operator")
  {
    StorePage page;
    page.mAsOf = 13;
    page.mObjects = { { "svc", 13, true, "" } };
    fixture.mMirror.Apply(kind, page, fixture.mNow);
    CHECK(rollouts.Order(service) == nullptr);
    CHECK_FALSE(rollouts.IsRunning());
  }
  SECTION("but not if it is missing since the store was away")
  {
    fixture.mMirror.Replace(kind, { 12, {} }, fixture.mNow, ListOrigin::AfterOutage);
    CHECK(rollouts.Order(service) != nullptr);
  }
}
