#include "LoadClient.h"

#include "../connections/JsonExchange.h"
#include "../json/JsonObject.h"

namespace skylarkchute {

namespace {

std::uint32_t UIntOrZero(const Json::Value& aReport, const char* aName)
{
  return aReport[aName].isUInt() ? aReport[aName].asUInt() : 0;
}

} // namespace

std::optional<LoadReport> PollLoad(const EndpointRecord& aEndpoint,
                                   std::chrono::milliseconds aTimeout)
{
  const auto reply =
    ExchangeJson({ aEndpoint.mAddress, aEndpoint.mPort, "GET", "/v1/load", "", aTimeout });
  Json::Value value;
  if (!reply.IsOk() || !ParseJsonObject(reply.mBody, value)) {
    return std::nullopt;
  }
  LoadReport report;
  report.mEndpoint = aEndpoint.mId;
  report.mRunning = UIntOrZero(value, "running");
  report.mQueued = UIntOrZero(value, "queued");
  report.mSlots = UIntOrZero(value, "slots");
  report.mLeaving = value["leaving"].isBool() && value["leaving"].asBool();
  if (value["hosted"].isArray()) {
    for (const auto& it : value["hosted"]) {
      report.mHostedLabels.push_back(it.isString() ? it.asString() : "");
    }
  }
  return report;
}

} // namespace skylarkchute
