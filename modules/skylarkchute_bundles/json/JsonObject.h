#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <boost/leaf.hpp>
#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

/** Reads the typed members of a JSON object; a missing member or one of another type makes the
    whole object invalid and reads as an empty value. */
class JsonObject
{
public:
  /** Parses text; anything but one JSON object is invalid. */
  explicit JsonObject(const std::string& aText);

  /** Wraps a member of another object. */
  explicit JsonObject(Json::Value aValue);

  std::string Text(const char* aMember);
  std::uint64_t Count(const char* aMember);
  double Number(const char* aMember);
  WallTime Time(const char* aMember);
  bool Flag(const char* aMember);

  /** Returns whether the object has the member, of any type. */
  bool Has(const char* aMember) const { return mValue.isMember(aMember); }

  /** Returns a member of any type, null when it is missing. */
  const Json::Value& Member(const char* aMember) { return mValue[aMember]; }

  /** Returns an array, empty when invalid. */
  const Json::Value& Array(const char* aMember);

  /** Returns an object, an invalid one when there is none. */
  JsonObject Object(const char* aMember);

  /** Makes the object invalid, naming the member. */
  void Refuse(const std::string& aMember);

  /** Returns whether nothing was refused so far. */
  bool IsValid() const { return mRefused.empty(); }

  /** Returns success, or Faults that name the object and each refused member. */
  boost::leaf::result<void> Check(const std::string& aObjectName) const;

private:
  Json::Value mValue;
  std::vector<std::string> mRefused;
};

/** Returns milliseconds since 1970, as the JSON objects of this module hold wall times. */
Json::Int64 TimeToJson(WallTime aTime);

} // namespace skylarkchute
