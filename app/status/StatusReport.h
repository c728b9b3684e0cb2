#pragma once

#include <json/json.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** The `/status` document of one instance, or the fact that it did not answer. */
struct InstanceStatus
{
  std::string mInstance;
  Json::Value mDocument; /**< Null when the instance did not answer. */
};

/** Draws the status of a fleet as text for a terminal. */
class StatusReport
{
public:
  /** @param aPlatformAnswers  whether the instances came from the platform's list */
  StatusReport(std::vector<InstanceStatus> aInstances, bool aPlatformAnswers);

  /** Returns the tables of instances, rolls, endpoints, limits and latencies. */
  std::string Text() const;

  /** Returns everything as one JSON object. */
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
