#include "../support/PlatformTemplate.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/runtime/RelaySettings.h>

#include <fstream>
#include <sstream>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

constexpr const char* kFields = R"({
  "Node":"front-1","Ip":"10.1.0.40","Zone":"z1","Zones":{"z1":"r","z2":"r"},
  "Listen":{"Front":"10.1.0.40:8227","Ready":"10.1.0.40:8220","Control":"10.1.0.40:8229"},
  "InternalPorts":[7340,7355],"Seeds":["10.1.0.40:8229","10.2.0.29:8229"],
  "Limits":{"MemoryMb":"260","MaxFds":"4100"},"FaultTolerance":{"Zones":"1"},
  "Bounds":{"GraceS":"8","RetryBudgetRatio":"0.9","BudgetWindowS":"10","BudgetSlack":"58",
    "ExposeShare":"0.15","ExposeSlack":"30","SessionS":"5","EvacMs":"5000",
    "ColdOvershoot":"1.5","ColdSlack":"5"},
  "Platform":{"Address":"10.200.1.7:8223"}})";

/** The template of the deploy file and the fields of a machine. */
struct TemplateFixture
{
  TemplateFixture()
  {
    std::istringstream(kFields) >> mFields;
    std::ifstream in(SKYLARKCHUTE_SOURCE_DIR "/deploy/relay.ini.template");
    std::stringstream text;
    text << in.rdbuf();
    mTemplate = text.str();
  }

  /** Returns the settings that the template gives, or nothing if a relay would not start with them;
      the reasons are then in mFaults. */
  std::optional<RelaySettings> Settings()
  {
    mFaults.clear();
    return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<RelaySettings>> {
        BOOST_LEAF_AUTO(document, IniDocument::Parse(PlatformTemplate(mTemplate).Render(mFields)));
        BOOST_LEAF_AUTO(settings, ParseRelaySettings(document));
        return std::optional(settings);
      },
      [&](const Faults& aFaults) {
        mFaults = aFaults.Text();
        return std::optional<RelaySettings>();
      },
      [] { return std::optional<RelaySettings>(); });
  }

  Json::Value& Bound(const std::string& aName) { return mFields["Bounds"][aName]; }

  Json::Value mFields;
  std::string mTemplate;
  std::string mFaults;
};

/** The figures that the template hands on, as the names of table and field. */
const std::vector<std::pair<std::string, std::string>> kFigures = {
  { "Bounds", "GraceS" },      { "Bounds", "RetryBudgetRatio" }, { "Bounds", "BudgetWindowS" },
  { "Bounds", "BudgetSlack" }, { "Bounds", "ExposeShare" },      { "Bounds", "ExposeSlack" },
  { "Bounds", "EvacMs" },      { "Bounds", "ColdOvershoot" },    { "Bounds", "ColdSlack" },
  { "Limits", "MemoryMb" },    { "Limits", "MaxFds" },           { "FaultTolerance", "Zones" },
  { "Bounds", "SessionS" }
};

} // namespace

TEST_CASE("FAULT: a relay starts with any figure as a fraction, or not stated")
{
  // Guards against settings with which a relay that goes on after SIGHUP cannot start again.
  TemplateFixture fixture;
  const auto& [table, name] = GENERATE(from_range(kFigures));
  auto& figure = fixture.mFields[table][name];
  const auto usual = figure.asString();
  const std::string share = name == "ExposeShare" ? "0.125" : usual + ".5";
  const bool isFraction = usual.find('.') != std::string::npos;
  const auto shapes = { usual,
                        isFraction ? usual + "0" : usual + ".0",
                        isFraction ? usual : share };
  for (const auto& it : shapes) {
    figure = it;
    INFO(table << "." << name << " = " << it);
    const bool isValid = fixture.Settings().has_value();
    INFO(fixture.mFaults);
    CHECK(isValid);
  }
  figure = Json::nullValue;
  INFO(table << "." << name << " is not stated");
  const auto settings = fixture.Settings();
  INFO(fixture.mFaults);
  CHECK(settings);
}

TEST_CASE("the template hands on the figures of the platform")
{
  TemplateFixture fixture;
  fixture.Bound("GraceS") = "7.5";
  fixture.Bound("BudgetWindowS") = "8.0";
  fixture.Bound("EvacMs") = "4999.6";
  fixture.mFields["Limits"]["MemoryMb"] = "260.9";
  fixture.mFields["Limits"]["MaxFds"] = "4100.0";
  fixture.mFields["FaultTolerance"]["Zones"] = "1.0";
  const auto settings = fixture.Settings();
  INFO(fixture.mFaults);
  REQUIRE(settings);
  CHECK(settings->mGrace == milliseconds(7500));
  CHECK(settings->mBounds.mRetry.mWindow == milliseconds(8000));
  CHECK(settings->mEvacuationTime == milliseconds(5000));
  CHECK(settings->mCallers.mMemoryMb == 260);
  CHECK(settings->mCallers.mDescriptors == 4100);
  CHECK(settings->mBounds.mToleratedZones == 1);
  CHECK(settings->mDefaulted.empty());
}

TEST_CASE("a figure that the platform does not state has its default, which is named")
{
  TemplateFixture fixture;
  fixture.Bound("GraceS") = Json::nullValue;
  fixture.Bound("ExposeShare") = Json::nullValue;
  const auto settings = fixture.Settings();
  INFO(fixture.mFaults);
  REQUIRE(settings);
  CHECK(settings->mGrace == milliseconds(5000));
  CHECK(settings->mBounds.mExposure.mShare == 0.05);
  CHECK(settings->mDefaulted ==
        std::vector<std::string>{ "rollouts.exposed_share = 0.05", "shutdown.grace = 5s" });
}

TEST_CASE("a figure out of its range, or that is no number, is refused by section, key and value")
{
  TemplateFixture fixture;
  const auto* const value = GENERATE("-1", "1e9", "nan", "inf", "soon", "7,5", "0x10");
  fixture.Bound("GraceS") = value;
  CHECK_FALSE(fixture.Settings());
  CHECK(fixture.mFaults.find("[shutdown] grace") != std::string::npos);
  CHECK(fixture.mFaults.find(value) != std::string::npos);
  fixture.Bound("GraceS") = "8";
  fixture.mFields["Limits"]["MaxFds"] = value;
  CHECK_FALSE(fixture.Settings());
  CHECK(fixture.mFaults.find("[callers] descriptors") != std::string::npos);
}

TEST_CASE("PINNED: sessions last as long as the platform states")
{
  // Guards against a lifetime of sessions that is the default on every deployment: sessions that
  // pause for longer changed their version in the first half of a rollout.
  TemplateFixture fixture;
  fixture.Bound("SessionS") = "8.5";
  const auto settings = fixture.Settings();
  INFO(fixture.mFaults);
  REQUIRE(settings);
  CHECK(settings->mBounds.mSession == milliseconds(8500));
}
