#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include "support/BundleTexts.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

std::string FaultsOf(const std::string& aText)
{
  std::string faults;
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_CHECK(ParseBundle(aText));
      return {};
    },
    [&](const Faults& aFaults) { faults = aFaults.Text(); },
    [&] { faults = "an error without faults"; });
  return faults;
}

/** Returns the examples folder, searched for from the working directory upwards. */
std::filesystem::path ExamplesFolder()
{
  auto folder = std::filesystem::current_path();
  while (!std::filesystem::exists(folder / "examples" / "booking.ini") &&
         folder.has_relative_path()) {
    folder = folder.parent_path();
  }
  return folder / "examples";
}

struct FaultCase
{
  std::string mFrom;
  std::string mTo;
  std::string mFault;
};

} // namespace

TEST_CASE("a valid bundle is parsed key by key")
{
  const auto bundle = ParseBundle(SmallBundleText());
  REQUIRE(bundle);
  const auto* team = bundle->FindTeam(TeamName("dispatch"));
  REQUIRE(team);
  CHECK(team->mKeyHashes.at(0).mSalt == "00112233445566778899aabb");
  CHECK(team->mModels == std::vector<ModelName>{ ModelName("small"), ModelName("large") });
  CHECK(team->mConcurrency == 50);
  CHECK(bundle->FindTeam(TeamName("police"))->mRequestsPerSecond == 10.5);
  CHECK(bundle->FindTeam(TeamName("police"))->mWeight == 1);
  CHECK(bundle->FindVersion(VersionId("small/2"))->mLabel == "small/2");
  CHECK(bundle->FindVersion(VersionId("small/2"))->mState == VersionState::Rolling);
  CHECK(bundle->FindClass(ClassName("order"))->mTargetLatency == 250ms);
  CHECK_FALSE(bundle->FindClass(ClassName("order"))->mIdempotent);
  CHECK(bundle->mRolls.at(0).mStagePercents == std::vector<double>{ 5, 50, 100 });
  CHECK(bundle->mRolls.at(0).mHold == 10s);
  CHECK(bundle->mRetention.mClaims == 24h);
  CHECK(bundle->mEndpointRules.at(0).mZone == ZoneName("north"));
}

TEST_CASE("rendering a bundle and parsing it again gives the same text and parts")
{
  const auto bundle = ParseBundle(SmallBundleText());
  REQUIRE(bundle);
  const auto text = RenderBundle(*bundle);
  const auto again = ParseBundle(text);
  REQUIRE(again);
  CHECK(RenderBundle(*again) == text);
  CHECK(ReferencesOf(SplitBundle(*again)) == ReferencesOf(SplitBundle(*bundle)));
}

TEST_CASE("each kind of fault is refused with its section, key and reason")
{
  const std::vector<FaultCase> refused = {
    { "weight = 2", "wieght = 2", "[team dispatch] wieght: is not a known key" },
    { "[team police]", "[teem police]", "[teem police] is not a known section" },
    { "[team police]", "[team po lice]", "[team po lice] needs a name" },
    { "[service status]", "[service ../status]", "[service ../status] needs a name" },
    { "weight = 2", "concurrency = 3", "duplicate key" },
    { "[team police]", "[team dispatch]", "duplicate section" },
    { "models = small, large", "models = small, huge", "[team dispatch] models: no model" },
    { "models = small, large", "models = small, small", "names 'small' twice" },
    { "models = small, large", "models = small,, large", "has an empty item" },
    { "versions = small/1", "versions = small/9", "[team police] versions: no version" },
    { "services = orders", "services = odors", "[team dispatch] services: no service" },
    { "requests-per-second = 20", "requests-per-second = 0", "above 0" },
    { "requests-per-second = 20", "requests-per-second = -1", "above 0" },
    { "requests-per-second = 20", "requests-per-second = nan", "above 0" },
    { "requests-per-second = 20", "requests-per-second = inf", "above 0" },
    { "requests-per-second = 20", "requests-per-second = 20x", "above 0" },
    { "requests-per-second = 20\n", "", "requests-per-second: is missing" },
    { "concurrency = 50", "concurrency = 0", "concurrency: must be a whole number" },
    { "concurrency = 50", "concurrency = 1.5", "concurrency: must be a whole number" },
    { "quality = 0.8", "quality = 1.1", "[model small] quality: must be a number from 0 to 1" },
    { "price-per-thousand-tokens = 0.2", "price-per-thousand-tokens = -1", "must be a number" },
    { "price-per-thousand-tokens = 0.2", "price-per-thousand-tokens = 9", "is cheaper than" },
    { "state = active", "state = retired", "must be active, rolling or withdrawn" },
    { "[version small/1]", "[version tiny/1]", "[version tiny/1] no model is named 'tiny'" },
    { "[version small/1]", "[version small]", "must be named MODEL/NAME" },
    { "label = small-1", "label = small/2", "is also the label of" },
    { "state = rolling", "state = active", "[roll small-2] to: 'small/2' is not rolling" },
    { "from = small/1", "from = large/1", "belongs to another model" },
    { "from = small/1", "from = small/2", "'small/2' is not active" },
    { "to = small/2", "to = small/3", "[roll small-2] to: no version is named 'small/3'" },
    { "to = small/2", "to = small/3", "[version small/2] state: is rolling, but no roll" },
    { "stages = 5, 50, 100", "stages = 5, 50", "stages: must end with 100" },
    { "stages = 5, 50, 100", "stages = 50, 5, 100", "stages: must rise" },
    { "stages = 5, 50, 100", "stages = 0, 100", "stages: must rise" },
    { "stages = 5, 50, 100", "stages = 5, 200", "stages: must rise" },
    { "hold = 10s", "hold = 10", "hold: must be a duration" },
    { "hold = 10s", "hold = 0s", "hold: must be a duration" },
    { "hold = 10s", "hold = 99999999999999999999s", "hold: must be a duration" },
    { "evidence = 100", "evidence = 0", "evidence: must be a whole number" },
    { "quality-target = 0.9", "quality-target = 0.99", "is above the quality of every model" },
    { "cascade = notes", "cascade = note", "[class chat] cascade: no cascade" },
    { "idempotent = false", "idempotent = no", "must be true or false" },
    { "idempotent = false", "idempotent = false\nhedged = true", "needs an idempotent class" },
    { "[endpoint north/*]", "[endpoint north]", "must be named ZONE/ENDPOINT" },
    { "keys = 0011", "keys = Zz11", "keys: must be SALT:SHA256" },
    { "title = small", "title = small\nclaim-retention = 1500ms", "whole number of seconds" },
    { "[bundle]", "stray = 1\n[bundle]", "outside any section" },
  };
  for (const auto& it : refused) {
    INFO(it.mFrom << " -> " << it.mTo);
    REQUIRE(SmallBundleText().find(it.mFrom) != std::string::npos);
    CHECK_THAT(FaultsOf(Replaced(SmallBundleText(), it.mFrom, it.mTo)),
               Catch::Matchers::Contains(it.mFault));
  }
}

TEST_CASE("all faults of a bundle are reported at once")
{
  auto text = Replaced(SmallBundleText(), "quality = 0.8", "quality = 8");
  text = Replaced(text, "stages = 5, 50, 100", "stages = 5");
  text = Replaced(text, "weight = 2", "wait = 2");
  const auto faults = FaultsOf(text);
  CHECK_THAT(faults, Catch::Matchers::Contains("[model small] quality"));
  CHECK_THAT(faults, Catch::Matchers::Contains("[roll small-2] stages"));
  CHECK_THAT(faults, Catch::Matchers::Contains("[team dispatch] wait"));
}

TEST_CASE("a team key given in clear is refused without repeating it")
{
  const auto faults =
    FaultsOf(Replaced(SmallBundleText(), "keys = 0011", "keys = my-secret, 0011"));
  CHECK_THAT(faults, Catch::Matchers::Contains("[team dispatch] keys"));
  CHECK_THAT(faults, !Catch::Matchers::Contains("my-secret"));
}

TEST_CASE("a key shared by two teams is refused")
{
  const auto text = SmallBundleText();
  const auto first = text.find("keys = ");
  const auto line = text.substr(first, text.find('\n', first) - first);
  const auto second = text.find("keys = ", first + 1);
  const auto other = text.substr(second, text.find('\n', second) - second);
  CHECK_THAT(FaultsOf(Replaced(text, other, line)),
             Catch::Matchers::Contains("[team police] keys: shares a key with [team dispatch]"));
}

TEST_CASE("the example bundles are valid")
{
  const auto folder = ExamplesFolder();
  for (const auto* name : { "call-boxes.ini", "booking.ini" }) {
    std::ifstream in(folder / name);
    std::stringstream buf;
    buf << in.rdbuf();
    INFO(name);
    REQUIRE_FALSE(buf.str().empty());
    CHECK(FaultsOf(buf.str()).empty());
  }
}
