#include "RelayStatusReport.h"

#include "TableRow.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

std::string InstancesText(const std::vector<InstanceStatus>& aInstances)
{
  auto text = TableRow()
                .Name("INSTANCE")
                .Cell("ZONE")
                .Cell("CONFIG")
                .Cell("AGE S")
                .Cell("BEHIND S")
                .Cell("READY")
                .Cell("PEERS")
                .Cell("STORE")
                .Line();
  for (const auto& it : aInstances) {
    const auto& document = it.mDocument;
    if (!IsRelayStatus(document)) {
      text += TableRow().Name(it.mInstance).Cell("no answer").Line();
      continue;
    }
    const auto& config = document["config"];
    const bool isReady = document["ready"].asBool();
    text += TableRow()
              .Name(document["name"].asString())
              .Cell(document["zone"].asString())
              .Cell(config.isMember("version") ? config["version"].asString() : "none")
              .Number(config["age_ms"].asDouble() / kMillisecondsPerSecond)
              .Number(config["behind_ms"].asDouble() / kMillisecondsPerSecond)
              .Cell(document["leaving"].asBool() ? "leaving"
                    : isReady                    ? "yes"
                                                 : "no")
              .Number(document["peers"].size())
              .Cell(document["store_unserved"].empty() ? "serves" : "away")
              .Line();
  }
  return text;
}

std::string EndpointsText(const Json::Value& aDocument)
{
  auto text = "\n" + TableRow()
                       .Name("ENDPOINT")
                       .Name("SERVICE")
                       .Cell("VERSION")
                       .Cell("ZONE")
                       .Cell("STATE")
                       .Cell("OPEN")
                       .Cell("FAILING")
                       .Line();
  for (const auto& it : aDocument["endpoints"]) {
    text += TableRow()
              .Name(it["id"].asString())
              .Name(it["service"].asString())
              .Cell(it["version"].asString())
              .Cell(it["zone"].asString())
              .Cell(it["state"].asString())
              .Number(it["outstanding"])
              .Number(it["failure_rate"])
              .Line();
  }
  return text;
}

std::string RetriesText(const Json::Value& aDocument)
{
  auto text =
    "\n" + TableRow().Name("SERVICE").Cell("RETRIES").Cell("ROOM").Cell("PRESSURE").Line();
  for (const auto& it : aDocument["retries"]) {
    text += TableRow()
              .Name(it["service"].asString())
              .Number(it["used"])
              .Number(it["room"])
              .Number(it["pressure"])
              .Line();
  }
  return text;
}

std::string RolloutsText(const Json::Value& aDocument)
{
  auto text = "\n" + TableRow().Name("ROLLOUT").Cell("TARGET").Cell("STATE").Line();
  for (const auto& it : aDocument["rollouts"]) {
    text += TableRow()
              .Name(it["service"].asString())
              .Cell(it["target"].asString())
              .Cell(it["state"].asString())
              .Line();
  }
  return text;
}

} // namespace

bool IsRelayStatus(const Json::Value& aDocument)
{
  return aDocument.isObject() && aDocument["program"] == "relay";
}

std::string RelayStatusText(const std::vector<InstanceStatus>& aInstances)
{
  auto text = InstancesText(aInstances);
  const auto first = std::find_if(aInstances.begin(), aInstances.end(), [](const auto& aEntry) {
    return IsRelayStatus(aEntry.mDocument);
  });
  if (first != aInstances.end()) {
    const auto& document = first->mDocument;
    text += EndpointsText(document) + RetriesText(document) + RolloutsText(document);
  }
  return text;
}

} // namespace skylarkchute
