#include <skylarkchute_core/skylarkchute_core.h>

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

constexpr const char* kMinimalSettings = "[instance]\nid = a\nzone = z\ncaller_port = 8080\n"
                                         "peer_port = 8081\n[platform]\nport = 7000\n"
                                         "[peers]\nshared_key = 0123456789abcdef\n";

/** Returns the errors in a settings text, or an empty text if there are none. */
std::string FaultsOf(const std::string& aText, const std::vector<SettingOverride>& aOverrides = {})
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<std::string> {
      BOOST_LEAF_AUTO(document, IniDocument::Parse(aText));
      BOOST_LEAF_CHECK(ParseSettings(document, aOverrides));
      return std::string();
    },
    [](const Faults& aFaults) { return aFaults.Text(); },
    [] { return std::string("unexpected error"); });
}

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("settings without faults have their defaults")
{
  const auto document = IniDocument::Parse(kMinimalSettings);
  REQUIRE(document);
  const auto settings = ParseSettings(*document, {});
  REQUIRE(settings);
  CHECK(settings->mInstance.mCallerPort == 8080);
  CHECK(settings->mCallers.mReceiveTimeout == 10s);
  CHECK(settings->mLog.mFormat == LogFormat::Text);
}

TEST_CASE("every fault of the settings is found and names section and key")
{
  const auto text = FaultsOf("[instance]\nid = a\nzone = z\ncaller_port = 80800\npeer_port = x\n"
                             "speed = 3\n[platform]\nport = 7000\naddress = platform.example\n"
                             "[peers]\nshared_key = short\n[extra]\nk = 1\n");
  CHECK(Contains(text, "[instance] caller_port"));
  CHECK(Contains(text, "[instance] peer_port"));
  CHECK(Contains(text, "[instance] speed"));
  CHECK(Contains(text, "[platform] address"));
  CHECK(Contains(text, "[peers] shared_key"));
  CHECK(Contains(text, "[extra]"));
}

// Guards against two listeners of an instance on one port.
TEST_CASE("the same port for callers and for other instances is refused")
{
  CHECK(Contains(FaultsOf(kMinimalSettings, { { "instance", "peer_port", "8080" } }),
                 "[instance] peer_port"));
}

TEST_CASE("overrides replace the file's values and are checked like them")
{
  CHECK(FaultsOf(kMinimalSettings).empty());
  CHECK(Contains(FaultsOf(kMinimalSettings, { { "log", "level", "loud" } }), "[log] level"));
  const auto document = IniDocument::Parse(kMinimalSettings);
  const auto settings = ParseSettings(*document, { { "instance", "id", "b" } });
  REQUIRE(settings);
  CHECK(settings->mInstance.mId == InstanceId("b"));
}

TEST_CASE("the environment overrides keys that contain underscores")
{
  const char* environment[] = { "SKYLARKCHUTE_INSTANCE_CALLER_PORT=9999", "HOME=/", nullptr };
  const auto overrides = EnvironmentOverrides(environment);
  REQUIRE(overrides.size() == 1);
  CHECK(overrides.front().mSection == "instance");
  CHECK(overrides.front().mKey == "caller_port");
  CHECK(overrides.front().mValue == "9999");
}

TEST_CASE("durations are numbers with a unit")
{
  CHECK(ReadDuration("250ms") == 250ms);
  CHECK(ReadDuration("7.5s") == 7500ms);
  CHECK(ReadDuration("8.0 s") == 8s);
  CHECK(ReadDuration("0.25h") == 15min);
  CHECK(ReadDuration("4999.6ms") == 5000ms);
  CHECK(ReadDuration("87600h") == 87600h);
  for (const auto* it :
       { "", "s", "5", "5.5", "-5s", "+5s", "5 x", "5ss", "nans", "infs", "1e300s", "87601h" }) {
    CAPTURE(it);
    CHECK_FALSE(ReadDuration(it));
  }
  CHECK(IsWithoutValue(" "));
  CHECK(IsWithoutValue("ms"));
  CHECK_FALSE(IsWithoutValue("soon"));
}
