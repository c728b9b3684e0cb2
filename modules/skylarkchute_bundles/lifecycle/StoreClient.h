#pragma once

#include "LifecycleError.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The body and version of a platform object. */
struct StoredObject
{
  std::string mBody;
  ObjectVersion mVersion;
};

/** Reads and writes objects through a synchronous ObjectApi and retries failed calls a limited
    number of times. Errors are of type LifecycleError. */
class StoreClient
{
public:
  StoreClient(ObjectApi& aApi, CallPurpose aPurpose);

  /** Returns the object, or `std::nullopt` if it does not exist. */
  boost::leaf::result<std::optional<StoredObject>> Get(const std::string& aKey);

  /** Returns the objects whose keys start with @p aPrefix. */
  boost::leaf::result<std::vector<ObjectEntry>> List(const std::string& aPrefix);

  /** Creates an object. An object that already exists is kept unchanged, which is not an error.
      After a lost reply the conditional write is repeated. */
  boost::leaf::result<void> PutIfAbsent(const std::string& aKey, const std::string& aBody);

  /** Makes one conditional write, without retries.
      @param aVersion  the version to replace; if empty, the object must not exist */
  ObjectStatus ConditionalPut(const std::string& aKey,
                              const std::string& aBody,
                              const std::optional<ObjectVersion>& aVersion);

private:
  ObjectReply CallOnce(ObjectOperation aOperation);
  ObjectReply ReadWithRetry(const ObjectOperation& aOperation);

  ObjectApi& mApi;
  CallPurpose mPurpose;
  std::uint64_t mNextId = 1;
};

} // namespace skylarkchute
