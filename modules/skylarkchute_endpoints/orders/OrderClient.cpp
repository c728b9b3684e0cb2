#include "OrderClient.h"

#include "../connections/JsonExchange.h"
#include "../json/JsonObject.h"

namespace skylarkchute {

namespace {

constexpr int kConflict = 409;

std::string BodyOf(const EndpointOrder& aOrder)
{
  Json::Value body(Json::objectValue);
  body["order"] = aOrder.mKind == OrderKind::Load ? "load" : "unload";
  body["label"] = aOrder.mLabel;
  body["fence"] = static_cast<Json::UInt64>(aOrder.mFence);
  return WriteJsonText(body);
}

} // namespace

OrderEnd GiveOrder(const EndpointOrder& aOrder, std::chrono::milliseconds aTimeout)
{
  const auto reply =
    ExchangeJson({ aOrder.mAddress, aOrder.mPort, "POST", "/v1/orders", BodyOf(aOrder), aTimeout });
  if (reply.mVerdict == Verdict::NotRun) {
    return OrderEnd::NotSent;
  }
  if (reply.mVerdict == Verdict::MayHaveRun) {
    return OrderEnd::Unknown;
  }
  if (reply.IsOk()) {
    return OrderEnd::Accepted;
  }
  return reply.mHttpStatus == kConflict ? OrderEnd::Stale : OrderEnd::Refused;
}

} // namespace skylarkchute
