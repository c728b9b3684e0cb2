#pragma once

#include <platform/StoreCodec.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** All objects of one kind at one revision of the store. */
struct KindSnapshot
{
  StoreVersion mAsOf = 0; /**< State of the store. */
  std::vector<StoreObject> mObjects;
};

/** Brings a snapshot up to the state of the page with the events that follow it. */
void ApplyEvents(KindSnapshot& aSnapshot, const StorePage& aEvents);

/** The changes of the objects of one kind between two revisions of the store. */
struct KindChanges
{
  StoreVersion mSince = 0; /**< The receiver must know the kind up to this state. */
  StoreVersion mAsOf = 0;  /**< State of the store. */
  /** Changed objects in their newest state, and removed ones with the revision at which they were
      known to be gone. */
  std::vector<StoreObject> mObjects;
};

/** Whether entries may be missing from a list although their writers live. */
enum class ListOrigin
{
  Normal,
  AfterOutage,
};

/** In-memory copy of the newest state of the platform's store that this instance has received, from
    the store itself or from another instance. Never returns to an older state. Performs no I/O. */
class StoreMirror
{
public:
  /** Called for each object that changed or was removed, in the order in which the update lists
      them; objects missing from a full list follow in the order of their names. */
  using Listener = std::function<void(ObjectKind, const StoreObject&)>;

  explicit StoreMirror(Listener aListener);

  /** Replaces all objects of a kind by a full list. A list older than the current state is
      ignored. In a list of a new era, entries may be missing although their writers live. */
  void Replace(ObjectKind aKind,
               const KindSnapshot& aSnapshot,
               TimePoint aNow,
               ListOrigin aOrigin = ListOrigin::Normal);

  /** Applies the changes of a watch that follow the current state. */
  void Apply(ObjectKind aKind, const StorePage& aEvents, TimePoint aNow);

  /** Applies changes received from another instance.
      @returns false when the kind is not known up to the revision that they start from */
  bool Apply(ObjectKind aKind, const KindChanges& aChanges, TimePoint aNow);

  /** Records that the objects were still the same at a later revision. */
  void Confirm(ObjectKind aKind, std::uint64_t aDigest, StoreVersion aAsOf);

  /** Returns the changes since a revision, or nothing when they are no longer known; a snapshot is
      needed then. */
  std::optional<KindChanges> ChangesSince(ObjectKind aKind, StoreVersion aRevision) const;

  /** Returns whether a full list of the kind was ever received. */
  bool IsKnown(ObjectKind aKind) const;

  /** Returns the state of the store up to which the kind is known. */
  StoreVersion AsOf(ObjectKind aKind) const;

  /** Returns the latest era of which a kind is known. */
  std::uint64_t Era() const;

  /** Returns a hash of the names and revisions; equal on instances that hold the same objects. */
  std::uint64_t Digest(ObjectKind aKind) const;

  /** Returns when an object of the kind last changed in this mirror. */
  TimePoint ChangedAt(ObjectKind aKind) const;

  KindSnapshot Snapshot(ObjectKind aKind) const;

  /** Returns the object, or null when it is unknown. */
  const StoreObject* Find(ObjectKind aKind, const std::string& aName) const;

private:
  struct KindTable
  {
    bool mIsKnown = false;
    StoreVersion mAsOf = 0;
    StoreVersion mChangesFrom = 0; /**< Removals are recorded after this revision. */
    StoreVersion mListedFrom = 0;  /**< Between these two, the last list replaced changes. */
    StoreVersion mListedTo = 0;
    std::deque<StoreObject> mRemoved; /**< The newest removals, oldest first. */
    std::uint64_t mDigest = 0;
    TimePoint mChangedAt{};
    std::map<std::string, StoreObject> mObjects;
  };

  void Set(ObjectKind aKind, KindTable& aTable, const StoreObject& aObject, TimePoint aNow);
  void Erase(ObjectKind aKind, KindTable& aTable, const StoreObject& aRemoved, TimePoint aNow);
  static void RecordRemoval(KindTable& aTable, const StoreObject& aRemoved);
  static StoreVersion RemovalRevision(const KindTable& aTable,
                                      const StorePage& aEvents,
                                      std::vector<StoreObject>::const_iterator aEvent);
  const KindTable& Table(ObjectKind aKind) const;

  Listener mListener;
  std::map<ObjectKind, KindTable> mKinds;
};

/** Returns whether all followed kinds are known that decide to which endpoints a request may go. An
    instance that serves before then may send requests to a version on trial or to an evacuated
   zone.
    @param aFollowed  the kinds that this instance follows */
bool IsRoutingStateKnown(const StoreMirror& aMirror, const std::vector<ObjectKind>& aFollowed);

} // namespace skylarkchute
