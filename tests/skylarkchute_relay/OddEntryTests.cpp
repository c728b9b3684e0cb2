#include <catch2/catch.hpp>
#include <platform/RequestCodec.h>
#include <platform/StoreCodec.h>

#include <limits>
#include <string>

using namespace skylarkchute;

namespace {

std::string Entry(const std::string& aName, const std::string& aSpec)
{
  return R"({"Metadata":{"Name":")" + aName + R"(","Revision":7},"Spec":)" + aSpec + "}";
}

std::string Spec(const std::string& aZone = R"("z")", const std::string& aSlots = "4")
{
  return R"({"Service":"s","Address":"10.0.0.1:80","Zone":)" + aZone +
         R"(,"Version":"v1","State":"ready","Slots":)" + aSlots + "}";
}

std::string Nested(int aDepth)
{
  return std::string(static_cast<std::size_t>(aDepth), '[') +
         std::string(static_cast<std::size_t>(aDepth), ']');
}

/** Specs of entries that name no endpoint. */
const std::vector<std::string> kUnreadableSpecs = {
  Spec(R"("\ud800")"),
  Spec(R"("z","Zone":"y")"),
  Spec(Nested(900)),
  Spec(Nested(3000)),
  Spec(Nested(100000)),
  Spec(R"("z")", "1e400"),
  Spec(R"("z")", "-1"),
  Spec(R"("z")", "99999999999999999999999"),
  Spec(R"("z")", "nope"),
  R"("a ] } , \" text")",
  "null",
};

} // namespace

TEST_CASE("an entry that cannot be read does not hide the others of a list")
{
  const auto spec = GENERATE(from_range(kUnreadableSpecs));
  const auto page = DecodeList(R"({"Items":[)" + Entry("a", Spec()) + "," + Entry("odd", spec) +
                               "," + Entry("b", Spec()) + R"(],"HasMore":true,"AsOf":9})");
  INFO(spec.substr(0, 80));
  REQUIRE(page);
  CHECK(page->mAsOf == 9);
  CHECK(page->mHasMore);
  REQUIRE(page->mObjects.size() == 3);
  CHECK(DecodeEndpoint(page->mObjects[0]));
  CHECK(page->mObjects[1].mName == "odd");
  CHECK(page->mObjects[1].mRevision == 7);
  CHECK_FALSE(DecodeEndpoint(page->mObjects[1]));
  CHECK(DecodeEndpoint(page->mObjects[2]));
}

TEST_CASE("an entry that cannot be read does not hide the other events of a watch")
{
  const auto spec = GENERATE(from_range(kUnreadableSpecs));
  const auto page = DecodeEvents(R"({"events":[{"Object":)" + Entry("odd", spec) +
                                 R"(,"Deleted":false},{"Object":)" + Entry("b", Spec()) +
                                 R"(,"Deleted":true}],"AsOf":9})");
  INFO(spec.substr(0, 80));
  REQUIRE(page);
  REQUIRE(page->mObjects.size() == 2);
  CHECK_FALSE(DecodeEndpoint(page->mObjects[0]));
  CHECK(page->mObjects[1].mName == "b");
  CHECK(page->mObjects[1].mIsDeleted);
}

TEST_CASE("an answer of the store whose brackets do not match is refused")
{
  CHECK_FALSE(DecodeList(R"({"Items":[{"Metadata":{"Name":"a"}],"AsOf":9})"));
  CHECK_FALSE(DecodeList(R"({"Items":[{"Metadata":{"Name":"a)"));
  CHECK_FALSE(DecodeList(""));
  CHECK_FALSE(DecodeEvents(R"([1])"));
}

TEST_CASE("an entry whose name cannot be sent in a header names no endpoint")
{
  // Guards against requests that a name with a line break in Skylarkchute-Expect-Instance splits.
  const auto* const name = GENERATE(R"(e\r\nX: 1)",
                                    R"(e\n)",
                                    "e 1",
                                    " e",
                                    "e ",
                                    R"(e\t)",
                                    R"(e\u0001)",
                                    R"(e\u0000)",
                                    "\xc3\xa5",
                                    "");
  CAPTURE(name);
  const auto page = DecodeList(R"({"Items":[)" + Entry(name, Spec()) + R"(],"AsOf":9})");
  REQUIRE(page);
  REQUIRE(page->mObjects.size() == 1);
  CHECK_FALSE(DecodeEndpoint(page->mObjects[0]));
}

TEST_CASE("a time beyond all bounds in an entry is cut")
{
  auto spec = Spec();
  spec.insert(spec.size() - 1, R"(,"ColdRemainingMs":1e300)");
  const auto page = DecodeList(R"({"Items":[)" + Entry("a", spec) + R"(],"AsOf":9})");
  REQUIRE(page);
  const auto endpoint = DecodeEndpoint(page->mObjects.at(0));
  REQUIRE(endpoint);
  CHECK(endpoint->mRemainingWarmup == std::chrono::milliseconds(1000000000000));
}

TEST_CASE("allowed regions and the time that an endpoint stays cold are read, odd items limit more")
{
  // Guards against a list whose items cannot be read lifting the limit that it sets.
  StoreObject object{
    "main", 1, false, R"({"Metadata":{"Name":"main"},"Spec":{"Version":1,"Routes":[
    {"Kind":"idempotent","Service":"s","PathPrefix":"/","AllowedRegions":["north",7]}],
    "Tenants":[{"Name":"t","AllowedRegions":["south"]}]}})"
  };
  const auto config = DecodeConfig(object);
  REQUIRE(config);
  CHECK(config->mRoutes.at(0).mAllowedRegions ==
        std::vector{ RegionName("north"), RegionName("") });
  CHECK(config->mTeams.at(0).mAllowedRegions == std::vector{ RegionName("south") });
  boost::beast::http::fields fields;
  CHECK_FALSE(DecodeEndpointHead(200, fields).mNotice.mCold);
  fields.set("Skylarkchute-Cold-Ms", "1500");
  CHECK(DecodeEndpointHead(200, fields).mNotice.mCold == std::chrono::milliseconds(1500));
  fields.set("Skylarkchute-Cold-Ms", "-1");
  CHECK_FALSE(DecodeEndpointHead(200, fields).mNotice.mCold);
}
