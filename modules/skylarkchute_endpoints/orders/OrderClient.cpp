#include "OrderClient.h"

#include "../connections/JsonExchange.h"
#include "../json/JsonObject.h"

namespace skylarkchute {

namespace {

constexpr int kConflict = 409;

std::string ToJsonBody(const EndpointOrder& aOrder)
{
  Json::Value body(Json::objectValue);
  body["order"] = aOrder.mKind == OrderKind::Load ? "load" : "unload";
  body["label"] = aOrder.mLabel;
  body["fence"] = static_cast<Json::UInt64>(aOrder.mFence);
  return WriteJsonText(body);
}

} // namespace

OrderResult SendEndpointOrder(const EndpointOrder& aOrder, std::chrono::milliseconds aTimeout)
{
  const auto reply = ExchangeJson(
    { aOrder.mAddress, aOrder.mPort, "POST", "/v1/orders", ToJsonBody(aOrder), aTimeout });
  if (reply.mVerdict == Verdict::NotRun) {
    return OrderResult::NotSent;
  }
  if (reply.mVerdict == Verdict::MayHaveRun) {
    return OrderResult::Unknown;
  }
  if (reply.IsOk()) {
    return OrderResult::Accepted;
  }
  return reply.mHttpStatus == kConflict ? OrderResult::Stale : OrderResult::Refused;
}

} // namespace skylarkchute
