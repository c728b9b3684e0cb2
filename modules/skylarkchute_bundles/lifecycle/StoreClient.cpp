#include "StoreClient.h"

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr int kMaxAttempts = 4;

LifecycleError UnavailableError(const std::string& aWhat)
{
  return { LifecycleErrorKind::Unavailable, "the platform did not answer while " + aWhat };
}

} // namespace

StoreClient::StoreClient(ObjectApi& aApi, CallPurpose aPurpose) : mApi(aApi), mPurpose(aPurpose) {}

ObjectReply StoreClient::CallOnce(ObjectOperation aOperation)
{
  ObjectCall call;
  call.mId = mNextId++;
  call.mPurpose = mPurpose;
  call.mOperation = std::move(aOperation);
  return mApi.Call(call);
}

ObjectReply StoreClient::ReadWithRetry(const ObjectOperation& aOperation)
{
  ObjectReply reply;
  for (int n = 0; n < kMaxAttempts; ++n) {
    reply = CallOnce(aOperation);
    if (reply.mStatus == ObjectStatus::Ok || reply.mStatus == ObjectStatus::NotFound) {
      break;
    }
  }
  return reply;
}

leaf::result<std::optional<StoredObject>> StoreClient::Get(const std::string& aKey)
{
  const auto reply = ReadWithRetry(GetObject{ aKey });
  if (reply.mStatus == ObjectStatus::NotFound) {
    return std::optional<StoredObject>{};
  }
  if (reply.mStatus != ObjectStatus::Ok) {
    return leaf::new_error(UnavailableError("reading " + aKey));
  }
  return std::optional<StoredObject>(StoredObject{ reply.mBody, reply.mVersion });
}

leaf::result<std::vector<ObjectEntry>> StoreClient::List(const std::string& aPrefix)
{
  const auto reply = ReadWithRetry(ListObjects{ aPrefix });
  if (reply.mStatus != ObjectStatus::Ok) {
    return leaf::new_error(UnavailableError("listing " + aPrefix));
  }
  return reply.mEntries;
}

leaf::result<void> StoreClient::PutIfAbsent(const std::string& aKey, const std::string& aBody)
{
  bool uncertain = false;
  for (int n = 0; n < kMaxAttempts; ++n) {
    const auto status = ConditionalPut(aKey, aBody, std::nullopt);
    if (status == ObjectStatus::Ok || status == ObjectStatus::Conflict) {
      return {};
    }
    uncertain = uncertain || status == ObjectStatus::Unknown;
  }
  if (uncertain) {
    return leaf::new_error(LifecycleError{ LifecycleErrorKind::Unknown,
                                           "the platform did not say whether it wrote " + aKey +
                                             "; repeat the command" });
  }
  return leaf::new_error(UnavailableError("writing " + aKey));
}

ObjectStatus StoreClient::ConditionalPut(const std::string& aKey,
                                         const std::string& aBody,
                                         const std::optional<ObjectVersion>& aVersion)
{
  return CallOnce(PutObject{ aKey, aBody, aVersion }).mStatus;
}

} // namespace skylarkchute
