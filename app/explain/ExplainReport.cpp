#include "ExplainReport.h"

#include "../status/TableRow.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <cmath>

namespace skylarkchute {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kPerCent = 100;
constexpr std::size_t kTitleWidth = 12;

std::string NumberText(double aNumber)
{
  std::ostringstream text;
  text << aNumber;
  return text.str();
}

std::string MsText(const Json::Value& aObject, const char* aName)
{
  return NumberText(JsonNumberField(aObject, aName)) + " ms";
}

/** Returns one line of the report, with a title in a column of its own. */
std::string Line(std::string aTitle, const std::string& aText)
{
  aTitle.resize(kTitleWidth, ' ');
  return aTitle + aText + "\n";
}

std::string TextOr(const std::string& aText, const char* aDefault)
{
  return aText.empty() ? aDefault : aText;
}

std::string RouteText(const Json::Value& aDocument)
{
  auto text = TextOr(JsonTextField(aDocument, "route"), "none");
  if (aDocument.isMember("service")) {
    text += ", service " + JsonTextField(aDocument, "service");
    text += ", priority " + NumberText(JsonNumberField(aDocument, "priority"));
    text += ", deadline " + MsText(aDocument, "deadline_ms");
    text += ", target " + MsText(aDocument, "target_ms");
  }
  const auto& targets = JsonArrayField(aDocument, "targets");
  if (targets.size() > 1) {
    text += " (drawn by weight from";
    for (const auto& it : targets) {
      text += " " + JsonTextField(it, "service") + "=" + NumberText(JsonNumberField(it, "weight"));
    }
    text += ")";
  }
  return text;
}

std::string VersionText(const Json::Value& aDocument)
{
  auto text = TextOr(JsonTextField(aDocument, "version"), "none");
  std::string counts;
  const auto& versions = aDocument["versions"];
  for (const auto& it : versions.isObject() ? versions.getMemberNames() : Json::Value::Members()) {
    counts += (counts.empty() ? "" : ", ") + it + ": ";
    counts += NumberText(JsonNumberField(versions, it.c_str()));
  }
  text += " (open endpoints: " + TextOr(counts, "none") + ")";
  if (JsonFlagField(aDocument["rollout"], "running")) {
    text += ", a rollout to " + JsonTextField(aDocument["rollout"], "target") + " divides requests";
  }
  return text;
}

std::string ModelText(const Json::Value& aDocument)
{
  const auto model = JsonTextField(aDocument, "model");
  const auto reason = JsonTextField(aDocument, "model_reason");
  return model.empty() ? "as the caller names it" : model + (reason.empty() ? "" : ", " + reason);
}

std::string DecisionText(const Json::Value& aDecision)
{
  const auto outcome = JsonTextField(aDecision, "outcome");
  if (outcome == "send") {
    return JsonTextField(aDecision, "endpoint") + " in " + JsonTextField(aDecision, "zone") +
           ", version " + JsonTextField(aDecision, "version");
  }
  if (outcome == "forward") {
    return "through instance " + JsonTextField(aDecision, "instance");
  }
  if (outcome == "wait") {
    return "waits for room, at most " + MsText(aDecision, "wait_ms");
  }
  if (outcome != "refuse") {
    return "unknown: " + outcome; // Of a later build.
  }
  auto text = "refused, " + JsonTextField(aDecision, "reason") + ", status " +
              NumberText(JsonNumberField(aDecision, "status"));
  const double retryAfter = JsonNumberField(aDecision, "retry_after_ms");
  return retryAfter > 0
           ? text + ", Retry-After " + NumberText(retryAfter / kMillisecondsPerSecond) + " s"
           : text;
}

std::string AdmissionText(const Json::Value& aDocument)
{
  const auto& decision = aDocument["decision"];
  const auto outcome = JsonTextField(decision, "outcome");
  auto text = outcome == "send" || outcome == "forward" ? "goes at once" : DecisionText(decision);
  if (JsonFlagField(aDocument, "may_wait")) {
    text += "; " + NumberText(JsonNumberField(aDocument, "waiting")) + " wait for room now";
  }
  return text;
}

/** Returns what keeps requests from an endpoint, or what will. */
std::string StateText(const Json::Value& aEndpoint)
{
  std::string text;
  const auto add = [&text](const std::string& aState) {
    text += (text.empty() ? "" : ", ") + aState;
  };
  for (const auto* it : { "draining", "evacuated", "paused", "unhealthy" }) {
    if (JsonFlagField(aEndpoint, it)) {
      add(it);
    }
  }
  if (JsonFlagField(aEndpoint, "zone_avoided")) {
    add("zone avoided");
  }
  if (aEndpoint.isMember("cold_ms")) {
    add("cold for " + MsText(aEndpoint, "cold_ms"));
  }
  if (aEndpoint.isMember("limit")) {
    add("limited to " + NumberText(JsonNumberField(aEndpoint, "limit")) + "/s");
  }
  if (JsonNumberField(aEndpoint, "wait_ms") > 0) {
    add("takes one in " + MsText(aEndpoint, "wait_ms"));
  }
  if (aEndpoint.isMember("removed_by")) {
    add("not a candidate: " + JsonTextField(aEndpoint, "removed_by"));
  }
  return TextOr(text, "candidate");
}

std::string EndpointsText(const Json::Value& aDocument)
{
  auto text = "\n" + TableRow()
                       .Name("ENDPOINT")
                       .Cell("ZONE")
                       .Cell("VERSION")
                       .Cell("LOAD")
                       .Cell("SLOTS")
                       .Cell("ROOM")
                       .Cell("SPEED %")
                       .Cell("PACE %")
                       .Cell("STATE")
                       .Line();
  for (const auto& it : JsonArrayField(aDocument, "endpoints")) {
    if (!it.isObject()) {
      continue;
    }
    text += TableRow()
              .Name(JsonTextField(it, "id"))
              .Cell(JsonTextField(it, "zone"))
              .Cell(JsonTextField(it, "version"))
              .Number(std::round(JsonNumberField(it, "load") * 10) / 10)
              .Number(JsonNumberField(it, "slots"))
              .Number(std::floor(JsonNumberField(it, "room")))
              .Number(std::round(JsonNumberField(it, "speed") * kPerCent))
              .Number(std::round(JsonNumberField(it, "pace") * kPerCent))
              .Cell(StateText(it))
              .Line();
  }
  return text + "\n";
}

} // namespace

std::string ExplainText(const Json::Value& aDocument)
{
  std::string text = "As decided by " + JsonTextField(aDocument, "instance") + " in " +
                     JsonTextField(aDocument, "zone") +
                     " at this moment; nothing was sent. Its state\n" +
                     "may change before a real request arrives.\n\n";
  if (!aDocument.isMember("config")) {
    text += "The instance has no configuration.\n";
  }
  if (JsonFlagField(aDocument, "starting")) {
    text += "The instance is starting: it holds requests until it knows the platform's state.\n";
  }
  text += Line("team", TextOr(JsonTextField(aDocument, "team"), "none"));
  text += Line("route", RouteText(aDocument));
  if (!aDocument.isMember("endpoints")) {
    return text + Line("decision", DecisionText(aDocument["decision"]));
  }
  text += Line("version", VersionText(aDocument));
  text += Line("model", ModelText(aDocument));
  text += Line("admission", AdmissionText(aDocument));
  text += EndpointsText(aDocument);
  text += Line("chosen", DecisionText(aDocument["decision"]));
  if (aDocument.isMember("next")) {
    text += Line("next", DecisionText(aDocument["next"]) + " (if that cannot be reached)");
  }
  text += Line("hedge",
               aDocument.isMember("hedge_ms") ? "after " + MsText(aDocument, "hedge_ms") : "none");
  return text;
}

} // namespace skylarkchute
