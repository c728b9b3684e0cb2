#pragma once

#include <json/json.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace skylarkchute::standins {

/** The objects of the users' platform by kind and name, with one revision counter over all and a
    bounded history for watches. Safe for several threads. */
class UsersStore
{
public:
  /** How a call ended: an HTTP status and the body that goes with it. */
  struct Outcome
  {
    int mStatus = 200;
    Json::Value mBody;
  };

  using Key = std::pair<std::string, std::string>; /**< Kind and name. */

  /** Returns all objects of a kind. */
  Outcome List(const std::string& aKind) const;

  Outcome Get(const Key& aKey) const;

  /** Waits for changes of a kind after a revision, and returns them, none when the time is over.
      The status is 410 when the history does not reach back to the revision. */
  Outcome Watch(const std::string& aKind, std::uint64_t aRevision, std::chrono::milliseconds aWait);

  /** Creates an object from a body with `Metadata` and `Spec`; 409 when it is there. */
  Outcome Create(const std::string& aKind, const Json::Value& aBody);

  /** Replaces one part, `Spec` or `Status`; 404 when the object is not there, 409 when the body
      states another revision. What changes nothing raises no revision. */
  Outcome Replace(const Key& aKey, const char* aPart, const Json::Value& aBody);

  /** Removes an object. @param aRevision  condition; zero for none */
  Outcome Delete(const Key& aKey, std::uint64_t aRevision);

  /** Forgets the history of all changes; watches that wait are cut off with 410. */
  void DropHistory();

private:
  struct Change
  {
    std::uint64_t mRevision = 0;
    std::string mKind;
    Json::Value mEvent;
  };

  Json::Value& Store(const Key& aKey, Json::Value aObject);
  Json::Value EventsAfter(const std::string& aKind, std::uint64_t aRevision) const;
  void Record(const Key& aKey, const Json::Value& aObject, bool aIsDeleted);

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<Key, Json::Value> mObjects;
  std::deque<Change> mHistory;
  std::uint64_t mRevision = 100;
  std::uint64_t mHistoryFrom = 0; /**< Watches from an older revision are refused. */
};

} // namespace skylarkchute::standins
