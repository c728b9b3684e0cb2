#include "StatusCommand.h"

#include "../Commands.h"
#include "../platform/PlatformAddress.h"
#include "HttpFetch.h"
#include "StatusReport.h"

#include <boost/program_options.hpp>
#include <skylarkchute_platform/skylarkchute_platform.h>

#include <algorithm>
#include <cstdlib>
#include <ostream>
#include <thread>

namespace skylarkchute {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnswerTimeout{ 2000 };
constexpr std::chrono::seconds kWatchPeriod{ 2 };
constexpr std::size_t kDefaultMaxInstances = 32;
constexpr const char* kClearScreen = "\x1b[H\x1b[2J";

struct StatusOptions
{
  std::string mPlatform;
  std::vector<std::string> mInstances;
  std::size_t mMaxInstances = kDefaultMaxInstances;
  bool mWatch = false;
  bool mJson = false;
};

struct InstanceAddress
{
  std::string mName;
  HostPort mHostPort;
};

leaf::result<std::vector<InstanceAddress>> ReadInstanceList(const HostPort& aPlatform)
{
  InstanceListClient client(aPlatform.mAddress, aPlatform.mPort);
  BOOST_LEAF_AUTO(list, client.Read(0, milliseconds(0)));
  std::vector<InstanceAddress> addresses;
  for (const auto& it : list.mInstances) {
    if (it.mKind == InstanceKind::Entry) {
      addresses.push_back({ it.mId, { it.mAddress, it.mPort } });
    }
  }
  return addresses;
}

leaf::result<StatusReport> CollectStatus(const StatusOptions& aOptions)
{
  std::vector<InstanceAddress> addresses;
  bool platformAnswers = false;
  if (!aOptions.mPlatform.empty()) {
    BOOST_LEAF_AUTO(platform, ParseHostPort("--platform", aOptions.mPlatform));
    if (auto listed = ReadInstanceList(platform)) {
      addresses = std::move(*listed);
      platformAnswers = true;
    }
  }
  for (const auto& it : aOptions.mInstances) {
    BOOST_LEAF_AUTO(hostPort, ParseHostPort("--instance", it));
    addresses.push_back({ it, hostPort });
  }
  std::vector<InstanceStatus> statuses;
  for (std::size_t n = 0; n < std::min(addresses.size(), aOptions.mMaxInstances); ++n) {
    const auto body = HttpFetch(addresses[n].mHostPort, "/status", kAnswerTimeout);
    const auto document = body ? ReadJsonObject(*body) : std::nullopt;
    statuses.push_back({ addresses[n].mName, document.value_or(Json::Value()) });
  }
  return StatusReport(std::move(statuses), platformAnswers);
}

bool HasAnyAnswer(const Json::Value& aReport)
{
  const auto& instances = aReport["instances"];
  return std::any_of(instances.begin(), instances.end(), [](const Json::Value& aEntry) {
    return aEntry["status"].isObject();
  });
}

ExitCode PrintReport(const StatusOptions& aOptions, std::ostream& aOut, std::ostream& aErrors)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<ExitCode> {
      BOOST_LEAF_AUTO(report, CollectStatus(aOptions));
      const auto json = report.ToJson();
      aOut << (aOptions.mJson ? WriteJson(json) + "\n" : report.Text()) << std::flush;
      return HasAnyAnswer(json) ? ExitCode::Ok : ExitCode::Failed;
    },
    [&](const Faults& aFaults) {
      aErrors << "skylarkchute status: " << aFaults.Text();
      return ExitCode::BadInput;
    },
    [&] { return ExitCode::Failed; });
}

} // namespace

int RunStatusCommand(const std::vector<std::string>& aArguments,
                     std::ostream& aOut,
                     std::ostream& aErrors)
{
  StatusOptions status;
  const auto* variable = std::getenv("SKYLARKCHUTE_PLATFORM");
  status.mPlatform = variable == nullptr ? "" : variable;
  options::options_description description("skylarkchute status");
  auto add = description.add_options();
  add("help", "show this text");
  add("platform", options::value(&status.mPlatform), "ADDRESS:PORT of the platform");
  add("instance", options::value(&status.mInstances)->composing(), "ADDRESS:PORT, repeatable");
  add("most",
      options::value(&status.mMaxInstances)->default_value(kDefaultMaxInstances),
      "maximum number of instances to query");
  add("watch", options::bool_switch(&status.mWatch), "refresh every two seconds");
  add("json", options::bool_switch(&status.mJson), "print one JSON object");
  options::variables_map values;
  options::store(options::command_line_parser(aArguments).options(description).run(), values);
  options::notify(values);
  if (values.count("help") > 0) {
    aOut << description;
    return static_cast<int>(ExitCode::Ok);
  }
  while (status.mWatch) {
    aOut << kClearScreen;
    PrintReport(status, aOut, aErrors);
    std::this_thread::sleep_for(kWatchPeriod);
  }
  return static_cast<int>(PrintReport(status, aOut, aErrors));
}

} // namespace skylarkchute
