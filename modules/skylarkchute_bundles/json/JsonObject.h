#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <boost/leaf.hpp>
#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

/** Reads the members of a JSON object by type. Reading a member that is missing or of another type
    returns an empty value and makes the whole object invalid. */
class JsonObject
{
public:
  /** Parses text. The object is invalid if the text is not a single JSON object. */
  explicit JsonObject(const std::string& aText);

  /** Wraps a parsed value. The object is invalid if the value is not an object. */
  explicit JsonObject(Json::Value aValue);

  std::string Text(const char* aMember);
  std::uint64_t Count(const char* aMember);
  double Number(const char* aMember);
  WallTime Time(const char* aMember);
  bool Flag(const char* aMember);

  /** Returns whether the object has a member of any type. */
  bool Has(const char* aMember) const { return mValue.isMember(aMember); }

  /** Returns a member of any type; null if it is missing. */
  const Json::Value& Member(const char* aMember) { return mValue[aMember]; }

  /** Returns an array; empty if it is missing or of another type. */
  const Json::Value& Array(const char* aMember);

  /** Returns an object; an invalid one if it is missing or of another type. */
  JsonObject Object(const char* aMember);

  /** Makes the object invalid and records the member for the message of Check. */
  void MarkInvalid(const std::string& aMember);

  /** Returns whether no member was found invalid so far. */
  bool IsValid() const { return mInvalidMembers.empty(); }

  /** Returns success, or Faults that name the object and each invalid member. */
  boost::leaf::result<void> Check(const std::string& aObjectName) const;

private:
  Json::Value mValue;
  std::vector<std::string> mInvalidMembers;
};

/** Returns milliseconds since 1970, the format of wall times in this module's JSON objects. */
Json::Int64 TimeToJson(WallTime aTime);

} // namespace skylarkchute
