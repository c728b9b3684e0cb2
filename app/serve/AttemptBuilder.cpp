#include "AttemptBuilder.h"

namespace skylarkchute {

namespace {

std::string BodyWithLabel(const std::string& aBody, const std::string& aLabel)
{
  auto body = ReadJsonObject(aBody);
  if (!body) {
    return aBody;
  }
  (*body)["model"] = aLabel;
  return WriteJson(*body);
}

} // namespace

AttemptRequest BuildAttempt(const CallerRequest& aRequest, const DispatchAction& aAction)
{
  const auto& step = aAction.mStep;
  AttemptRequest attempt;
  attempt.mAttempt = step.mAttempt;
  attempt.mAddress = step.mAddress;
  attempt.mPort = step.mPort;
  attempt.mTimeout = step.mTimeout;
  attempt.mMethod = aRequest.mMethod;
  attempt.mPath = aRequest.mEndpointPath;
  attempt.mContentType = aRequest.mContentType;
  attempt.mStream = aRequest.mFacts.mStream;
  attempt.mModelRequest = aRequest.IsModelRequest();
  attempt.mPriority = aAction.mPriority;
  attempt.mRequestKey = aAction.mRequestKey;
  attempt.mBody =
    aRequest.IsModelRequest() ? BodyWithLabel(aRequest.mBody, step.mLabel) : aRequest.mBody;
  return attempt;
}

} // namespace skylarkchute
