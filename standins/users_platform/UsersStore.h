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

/** Objects of the users' platform by kind and name. One revision counter covers all objects, and a
    bounded change history serves watches. Safe to use from several threads. */
class UsersStore
{
public:
  /** HTTP status and body that answer a call. */
  struct Outcome
  {
    int mStatus = 200;
    Json::Value mBody;
  };

  /** Objects in a page of a list. */
  static constexpr std::size_t kMaxPageItems = 500;

  using Key = std::pair<std::string, std::string>; /**< Kind and name. */

  /** Returns a page of the objects of a kind, in the order of their names, with the current
      revision as `AsOf`.
      @param aAfter  name after which the page begins; empty for the first page
      @param aMost   number of objects in a page */
  Outcome List(const std::string& aKind,
               const std::string& aAfter = {},
               std::size_t aMost = kMaxPageItems) const;

  /** Returns an object, or 404 if it is absent. */
  Outcome Get(const Key& aKey) const;

  /** Returns the changes of a kind after a revision.
      @param aWait  longest wait for a change; the result has no events after it
      @returns 410 if the history does not reach back to the revision, and zero if CutWatches()
               ended the wait */
  Outcome Watch(const std::string& aKind, std::uint64_t aRevision, std::chrono::milliseconds aWait);

  /** Creates an object from a body with `Metadata` and `Spec`. @returns 409 if it exists */
  Outcome Create(const std::string& aKind, const Json::Value& aBody);

  /** Replaces one part of an object. The revision stays if nothing but `Seq` changes.
      @param aPart  `Spec` or `Status`
      @returns 404 if the object is absent, 409 if the body names another revision */
  Outcome Replace(const Key& aKey, const char* aPart, const Json::Value& aBody);

  /** Removes an object.
      @param aRevision  revision that the object must have; zero for any
      @returns 404 if the object is absent, 409 if it has another revision */
  Outcome Delete(const Key& aKey, std::uint64_t aRevision);

  /** Discards the change history. Pending watches end with 410. */
  void DropHistory();

  /** Ends pending watches with the status zero: their connections are to be closed. */
  void CutWatches();

  /** Copies all objects and the revision. */
  void TakeCopy();

  /** Returns to the last copy, as a store that is restored from it: later changes are gone, their
      revisions are given out again and a new era begins. Pending watches end with 410. */
  void RestoreCopy();

  /** Returns the era, which rises by one with each restore. */
  std::uint64_t Era() const;

private:
  struct Change
  {
    std::uint64_t mRevision = 0;
    std::string mKind;
    Json::Value mEvent;
  };

  Json::Value& Store(const Key& aKey, Json::Value aObject);
  Json::Value EventsAfter(const std::string& aKind, std::uint64_t aRevision) const;
  void RecordChange(const Key& aKey, const Json::Value& aObject, bool aIsDeleted);

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<Key, Json::Value> mObjects;
  std::deque<Change> mHistory;
  std::uint64_t mRevision = 100;
  std::uint64_t mEra = 1;
  std::uint64_t mCuts = 0; /**< Calls of CutWatches(). */
  std::map<Key, Json::Value> mCopiedObjects;
  std::uint64_t mCopiedRevision = 100;
  std::uint64_t mHistoryStartRevision = 0; /**< Watches from an older revision are refused. */
};

} // namespace skylarkchute::standins
