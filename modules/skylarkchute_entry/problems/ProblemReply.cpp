#include "ProblemReply.h"

#include <skylarkchute_endpoints/json/JsonObject.h>

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>

namespace skylarkchute {

std::string ProblemReply::Json(const RequestId& aRequest) const
{
  Json::Value problem(Json::objectValue);
  problem["type"] = "urn:skylarkchute:problem:" + mReason;
  problem["title"] = Poco::Net::HTTPResponse::getReasonForStatus(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(mHttpStatus));
  problem["status"] = mHttpStatus;
  problem["reason"] = mReason;
  problem["detail"] = mDetail;
  problem["verdict"] = std::string(VerdictName(mVerdict));
  if (!aRequest.IsEmpty()) {
    problem["request_id"] = aRequest.Value();
  }
  return WriteJsonText(problem);
}

std::string ProblemReply::RetryAfterSeconds() const
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(mRetryAfter);
  return std::to_string(std::max<std::chrono::seconds::rep>(seconds.count(), 1));
}

} // namespace skylarkchute
