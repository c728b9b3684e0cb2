#pragma once

#include "ObjectCall.h"

#include <vector>

namespace skylarkchute {

enum class ObjectStatus
{
  Ok,
  NotFound,
  Conflict,    /**< The condition of a write did not hold; nothing was written. */
  Throttled,   /**< The platform's rate limit was exceeded; nothing was written. */
  Unavailable, /**< The platform refused or could not be reached; nothing was written. */
  Unknown,     /**< No usable response; a write may have taken effect. */
};

/** One object in a list or watch reply. */
struct ObjectEntry
{
  std::string mKey;
  ObjectVersion mVersion;
  std::string mBody;
  bool mDeleted = false;
};

/** The reply to one ObjectCall. */
struct ObjectReply
{
  std::uint64_t mId = 0;
  ObjectStatus mStatus = ObjectStatus::Unknown;
  ObjectVersion mVersion; /**< Set after a get or a successful put. */
  std::string mBody;      /**< Set after a get. */
  std::vector<ObjectEntry> mEntries;
  std::uint64_t mPosition = 0; /**< After a watch or list: the position for the next watch. */
  std::chrono::milliseconds mRetryAfter{ 0 };
};

/** Synchronous interface to the object API, implemented by the platform client and a test fake. */
class ObjectApi
{
public:
  virtual ~ObjectApi() = default;

  /** Makes one call and returns its reply. A platform failure is a status, never an exception. */
  virtual ObjectReply Call(const ObjectCall& aCall) = 0;
};

} // namespace skylarkchute
