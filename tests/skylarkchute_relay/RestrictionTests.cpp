#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/runtime/FleetSync.h>

using namespace skylarkchute;

namespace {

/** A router that FleetSync configures, as in the runtime. */
struct ConfigFixture
{
  /** Puts a configuration with the route `/check/` and further members in force.
      @param aMembers  JSON members after the routes, each with a comma before it */
  void Configure(const std::string& aMembers, const std::string& aRouteMembers = {})
  {
    const auto text = R"({"Metadata":{"Name":"main"},"Spec":{"Version":)" +
                      std::to_string(++mVersion) +
                      R"(,"Routes":[{"Name":"check","Host":"site","PathPrefix":"/check/",)"
                      R"("Kind":"idempotent","Service":"svc","TimeoutMs":1000)" +
                      aRouteMembers + "}]" + aMembers + "}}";
    mSync.OnObject(ObjectKind::Config, { kConfigName, mVersion, false, text });
  }

  /** Returns why a request with a key is refused, or nothing if it is admitted. */
  std::optional<RefusalReason> RefusalOf(const std::string& aKey)
  {
    RelayRequest request;
    request.mHost = "site";
    request.mPath = "/check/1";
    request.mKey = aKey;
    const auto decision = mRelay.mRouter.Admit(request, mNow);
    const auto* refusal = std::get_if<RelayRefusal>(&decision);
    return refusal != nullptr ? std::optional(refusal->mReason) : std::nullopt;
  }

  RelayFixture mRelay;
  FleetSync mSync{ mRelay.mRouter, mRelay.mPool, mRelay.mLog };
  std::uint64_t mVersion = 0;
  TimePoint mNow{ std::chrono::hours(1) };
};

} // namespace

TEST_CASE("ROUTE: no key is accepted once the last team is removed")
{
  // Guards against an empty or unreadable list of teams opening all routes to every key.
  ConfigFixture fixture;
  fixture.Configure(R"(,"Tenants":[{"Name":"t","ApiKeys":["k"]}])");
  CHECK_FALSE(fixture.RefusalOf("k"));
  CHECK(fixture.RefusalOf("unknown") == RefusalReason::NoKey);
  const auto* const teams = GENERATE("[]",
                                     "[7]",
                                     R"([{"ApiKeys":["k"]}])",
                                     R"([{"Name":"t"}])",
                                     R"({"Name":"t","ApiKeys":["k"]})",
                                     "7",
                                     "null");
  CAPTURE(teams);
  fixture.Configure(std::string(R"(,"Tenants":)") + teams);
  CHECK(fixture.RefusalOf("k") == RefusalReason::NoKey);
  CHECK(fixture.RefusalOf("unknown") == RefusalReason::NoKey);
  CHECK(fixture.RefusalOf("") == RefusalReason::NoKey);
}

TEST_CASE("without a list of teams, and on public routes, requests need no key")
{
  ConfigFixture fixture;
  fixture.Configure("");
  CHECK_FALSE(fixture.RefusalOf(""));
  CHECK_FALSE(fixture.RefusalOf("unknown"));
  fixture.Configure(R"(,"Tenants":[])", R"(,"Public":true)");
  CHECK_FALSE(fixture.RefusalOf(""));
}

TEST_CASE("ROUTE: restrictions that cannot be read allow nothing")
{
  // Guards against a limit on regions that is no list being taken for none, and against an empty
  // key that requests without one match.
  ConfigFixture fixture;
  SECTION("regions")
  {
    const auto* const regions = GENERATE(R"("north")", R"({"Name":"north"})", "7", "[7]");
    CAPTURE(regions);
    fixture.Configure("", std::string(R"(,"AllowedRegions":)") + regions);
    const auto& config = fixture.mRelay.mRouter.Config()->Config();
    CHECK(config.mRoutes.at(0).mAllowedRegions == std::vector{ RegionName() });
    CHECK(config.mUnreadableRestrictions == std::vector<std::string>{ "Routes.0.AllowedRegions" });
  }
  SECTION("no regions")
  {
    const auto* const regions = GENERATE("null", "[]");
    CAPTURE(regions);
    fixture.Configure("", std::string(R"(,"AllowedRegions":)") + regions);
    const auto& config = fixture.mRelay.mRouter.Config()->Config();
    CHECK(config.mRoutes.at(0).mAllowedRegions.empty());
    CHECK(config.mUnreadableRestrictions.empty());
  }
  SECTION("an empty key")
  {
    fixture.Configure(R"(,"Tenants":[{"Name":"t","ApiKeys":["","k"]}])");
    CHECK(fixture.RefusalOf("") == RefusalReason::NoKey);
    CHECK_FALSE(fixture.RefusalOf("k"));
  }
}
