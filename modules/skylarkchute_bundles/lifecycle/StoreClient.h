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

/** Reads and writes objects through a synchronous ObjectApi, with a few repetitions. Errors are of
    type LifecycleError. */
class StoreClient
{
public:
  StoreClient(ObjectApi& aApi, CallPurpose aPurpose);

  /** Returns the object, or nothing when it is absent. */
  boost::leaf::result<std::optional<StoredObject>> Get(const std::string& aKey);

  /** Returns the objects below a prefix. */
  boost::leaf::result<std::vector<ObjectEntry>> List(const std::string& aPrefix);

  /** Writes an object unless it exists. An existing one is left as it is and is no error. A lost
      answer is resolved by reading back and writing again. */
  boost::leaf::result<void> PutOnce(const std::string& aKey, const std::string& aBody);

  /** Makes one conditional write. @param aVersion  without one, the object must be absent */
  ObjectStatus PutIf(const std::string& aKey,
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
