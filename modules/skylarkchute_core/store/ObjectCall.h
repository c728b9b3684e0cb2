#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkchute {

/** Opaque version of a platform object, as its ETag gives it. */
struct ObjectVersion
{
  std::string mTag;
  friend bool operator==(const ObjectVersion&, const ObjectVersion&) = default;
};

/** Why the object API is called; decides the priority under a tight budget, highest first. */
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

/** Returns the name of a purpose in metrics. */
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

/** Writes one object, always under a condition. */
struct PutObject
{
  std::string mKey;
  std::string mBody;
  /** The write takes effect only on this version; without one, only if the object is absent. */
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

/** Waits for a change below the prefix after a position. */
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
  /** Chosen by the caller; the reply carries it. */
  std::uint64_t mId = 0;
  CallPurpose mPurpose = CallPurpose::Status;
  ObjectOperation mOperation;
  std::chrono::milliseconds mTimeout{ 2000 };
};

} // namespace skylarkchute
