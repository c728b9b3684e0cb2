#pragma once

#include <json/json.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** The `/status` document of one instance, if it answered. */
struct InstanceStatus
{
  std::string mInstance;
  Json::Value mDocument; /**< Null when the instance did not answer. */
};

/** Formats the status of a fleet as text for a terminal or as JSON. */
class StatusReport
{
public:
  /** @param aPlatformAnswers  whether the platform's list of instances could be read */
  StatusReport(std::vector<InstanceStatus> aInstances, bool aPlatformAnswers);

  /** Returns the tables of instances, rolls, endpoints, limits and latencies; the tables after the
      first are those of the first instance that answered. Relays have other tables.
      @see RelayStatusText */
  std::string Text() const;

  /** Returns the documents of all instances as one JSON object. */
  Json::Value ToJson() const;

private:
  const Json::Value* FirstAnswer() const;
  std::string FleetText() const;
  static std::string RollsText(const Json::Value& aDocument);
  static std::string EndpointsText(const Json::Value& aDocument);
  static std::string LimitsText(const Json::Value& aDocument);
  static std::string LatenciesText(const Json::Value& aDocument);

  std::vector<InstanceStatus> mInstances;
  bool mPlatformAnswers;
};

} // namespace skylarkchute
