#include "StatusReport.h"

#include "RelayStatusReport.h"
#include "TableRow.h"

#include <algorithm>
#include <sstream>

namespace skylarkchute {

StatusReport::StatusReport(std::vector<InstanceStatus> aInstances, bool aPlatformAnswers)
  : mInstances(std::move(aInstances))
  , mPlatformAnswers(aPlatformAnswers)
{
}

std::string StatusReport::Text() const
{
  const bool hasRelays = std::any_of(mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
    return IsRelayStatus(aEntry.mDocument);
  });
  if (hasRelays) {
    return RelayStatusText(mInstances);
  }
  std::string text = mPlatformAnswers ? "" : "The platform does not answer.\n\n";
  text += FleetText();
  const auto* document = FirstAnswer();
  if (document == nullptr) {
    return text + "\nNo instance answered.\n";
  }
  text += RollsText(*document);
  text += EndpointsText(*document);
  text += LimitsText(*document);
  text += LatenciesText(*document);
  return text;
}

Json::Value StatusReport::ToJson() const
{
  Json::Value report(Json::objectValue);
  report["platform_answers"] = mPlatformAnswers;
  report["instances"] = Json::Value(Json::arrayValue);
  for (const auto& it : mInstances) {
    Json::Value entry(Json::objectValue);
    entry["instance"] = it.mInstance;
    entry["status"] = it.mDocument;
    report["instances"].append(entry);
  }
  return report;
}

const Json::Value* StatusReport::FirstAnswer() const
{
  for (const auto& it : mInstances) {
    if (it.mDocument.isObject()) {
      return &it.mDocument;
    }
  }
  return nullptr;
}

std::string StatusReport::FleetText() const
{
  auto text = TableRow()
                .Name("INSTANCE")
                .Cell("ZONE")
                .Cell("GENERATION")
                .Cell("READY")
                .Cell("STORE")
                .Cell("IN FLIGHT")
                .Line();
  for (const auto& it : mInstances) {
    TableRow row;
    row.Name(it.mInstance);
    if (!it.mDocument.isObject()) {
      text += row.Cell("no answer").Line();
      continue;
    }
    row.Cell(it.mDocument["zone"].asString());
    row.Number(it.mDocument["generation"]);
    row.Cell(it.mDocument["ready"].asBool() ? "yes" : "no");
    row.Cell(it.mDocument["store"].asString());
    row.Number(it.mDocument["in_flight"]);
    text += row.Line();
  }
  return text;
}

std::string StatusReport::RollsText(const Json::Value& aDocument)
{
  auto text =
    "\n" + TableRow().Name("ROLL").Name("TO").Cell("PERCENT").Cell("STATE").Cell("REASON").Line();
  for (const auto& it : aDocument["rolls"]) {
    text += TableRow()
              .Name(it["name"].asString())
              .Name(it["to"].asString())
              .Number(it["percent"])
              .Cell(it["withdrawn"].asBool() ? "withdrawn" : "rolling")
              .Cell(it["reason"].asString())
              .Line();
  }
  return text;
}

std::string StatusReport::EndpointsText(const Json::Value& aDocument)
{
  auto text =
    "\n" +
    TableRow().Name("ENDPOINT").Cell("ZONE").Cell("KIND").Cell("LEAVING").Cell("HOSTS").Line();
  for (const auto& it : aDocument["endpoints"]) {
    text += TableRow()
              .Name(it["id"].asString())
              .Cell(it["zone"].asString())
              .Cell(it["kind"].asString())
              .Cell(it["leaving"].asBool() ? "yes" : "no")
              .Cell(it["hosts"].asString())
              .Line();
  }
  return text;
}

std::string StatusReport::LimitsText(const Json::Value& aDocument)
{
  auto text = "\n" + TableRow().Name("TEAM").Cell("REQ/S").Cell("TOKENS/S").Line();
  for (const auto& it : aDocument["limits"]) {
    text += TableRow()
              .Name(it["team"].asString())
              .Number(it["requests_per_second"])
              .Number(it["tokens_per_second"])
              .Line();
  }
  return text;
}

std::string StatusReport::LatenciesText(const Json::Value& aDocument)
{
  std::string text;
  for (const auto& it : aDocument["latencies"]) {
    std::ostringstream head;
    head << "\nLATENCY " << it["labels"].asString() << "  count " << it["count"].asUInt64()
         << "  p50 " << it["p50_ms"].asDouble() << " ms  p95 " << it["p95_ms"].asDouble()
         << " ms  p99 " << it["p99_ms"].asDouble() << " ms\n";
    text += head.str() + it["drawing"].asString();
  }
  return text;
}

} // namespace skylarkchute
