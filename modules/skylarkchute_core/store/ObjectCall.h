#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkchute {

/** Opaque version of a platform object, from its ETag. */
struct ObjectVersion
{
  std::string mTag;
  friend bool operator==(const ObjectVersion&, const ObjectVersion&) = default;
};

/** Why the object API is called. The order is the priority when the call rate is limited, highest
    first. */
enum class CallPurpose
{
  Claim,
  Pin,
  Usage,
  Bundle,
  Roll,
  Order,
  Audit,
  Status,
};

/** Returns the name of a purpose as used in metrics. */
constexpr std::string_view CallPurposeName(CallPurpose aPurpose)
{
  constexpr std::string_view kNames[] = { "claim", "pin",   "usage", "bundle",
                                          "roll",  "order", "audit", "status" };
  return kNames[static_cast<std::size_t>(aPurpose)];
}

/** Reads one object. */
struct GetObject
{
  std::string mKey;
};

/** Writes one object. The write is always conditional. */
struct PutObject
{
  std::string mKey;
  std::string mBody;
  /** The write takes effect only if the object has this version, or is absent if none is given. */
  std::optional<ObjectVersion> mIfMatch;
};

/** Deletes one object. */
struct DeleteObject
{
  std::string mKey;
};

/** Lists objects whose keys start with the prefix, with their bodies. */
struct ListObjects
{
  std::string mPrefix;
};

/** Waits for a change, after a position, of an object whose key starts with the prefix. */
struct WatchObjects
{
  std::string mPrefix;
  std::uint64_t mAfter = 0;
  std::chrono::milliseconds mWait{ 0 };
};

using ObjectOperation = std::variant<GetObject, PutObject, DeleteObject, ListObjects, WatchObjects>;

/** One call to the object API. */
struct ObjectCall
{
  /** Chosen by the caller and returned in the reply. */
  std::uint64_t mId = 0;
  CallPurpose mPurpose = CallPurpose::Status;
  ObjectOperation mOperation;
  std::chrono::milliseconds mTimeout{ 2000 };
};

} // namespace skylarkchute
