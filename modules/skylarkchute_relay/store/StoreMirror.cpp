#include "StoreMirror.h"

#include <algorithm>
#include <set>

namespace skylarkchute {

namespace {

/** Removals kept for other instances that are behind; one that is further behind gets a
    snapshot. */
constexpr std::size_t kMaxRemovals = 512;

std::uint64_t HashOf(const StoreObject& aObject)
{
  return StableHash(aObject.mName, aObject.mRevision);
}

} // namespace

void ApplyEvents(KindSnapshot& aSnapshot, const StorePage& aEvents)
{
  auto& objects = aSnapshot.mObjects;
  for (const auto& event : aEvents.mObjects) {
    objects.erase(
      std::remove_if(objects.begin(),
                     objects.end(),
                     [&](const StoreObject& aObject) { return aObject.mName == event.mName; }),
      objects.end());
    if (!event.mIsDeleted) {
      objects.push_back(event);
    }
  }
  aSnapshot.mAsOf = std::max(aSnapshot.mAsOf, aEvents.mAsOf);
}

StoreMirror::StoreMirror(Listener aListener) : mListener(std::move(aListener))
{
  for (const auto it : kObjectKinds) {
    mKinds[it];
  }
}

const StoreMirror::KindTable& StoreMirror::Table(ObjectKind aKind) const
{
  return mKinds.at(aKind);
}

void StoreMirror::Set(ObjectKind aKind,
                      KindTable& aTable,
                      const StoreObject& aObject,
                      TimePoint aNow)
{
  auto& known = aTable.mObjects[aObject.mName];
  if (!known.mName.empty()) {
    if (aObject.mRevision <= known.mRevision) {
      return;
    }
    aTable.mDigest ^= HashOf(known);
  }
  known = aObject;
  known.mValue = nullptr; // Several times the size of the text.
  aTable.mDigest ^= HashOf(known);
  aTable.mChangedAt = aNow;
  mListener(aKind, aObject);
}

/** Removes an object unless it changed after the removal.
    @param aRemoved  the name, and the revision at which the object was known to be gone */
void StoreMirror::Erase(ObjectKind aKind,
                        KindTable& aTable,
                        const StoreObject& aRemoved,
                        TimePoint aNow)
{
  const auto found = aTable.mObjects.find(aRemoved.mName);
  if (found == aTable.mObjects.end()) {
    // Another instance may have seen the object that came and went.
    if (aRemoved.mRevision > aTable.mAsOf) {
      RecordRemoval(aTable, aRemoved);
    }
    return;
  }
  if (found->second.mRevision > aRemoved.mRevision) {
    return;
  }
  aTable.mDigest ^= HashOf(found->second);
  aTable.mObjects.erase(found);
  aTable.mChangedAt = aNow;
  RecordRemoval(aTable, aRemoved);
  mListener(aKind, aRemoved);
}

void StoreMirror::RecordRemoval(KindTable& aTable, const StoreObject& aRemoved)
{
  aTable.mRemoved.push_back(aRemoved);
  if (aTable.mRemoved.size() > kMaxRemovals) {
    aTable.mChangesFrom = std::max(aTable.mChangesFrom, aTable.mRemoved.front().mRevision);
    aTable.mRemoved.pop_front();
  }
}

void StoreMirror::Replace(ObjectKind aKind,
                          const KindSnapshot& aSnapshot,
                          TimePoint aNow,
                          ListOrigin aOrigin)
{
  auto& table = mKinds[aKind];
  if (table.mIsKnown && aSnapshot.mAsOf < table.mAsOf) {
    return;
  }
  const bool isNewEra = table.mIsKnown && EraOf(aSnapshot.mAsOf) > EraOf(table.mAsOf);
  const bool mayHaveLapsed = isNewEra || aOrigin == ListOrigin::AfterOutage;
  std::set<std::string> names;
  for (const auto& it : aSnapshot.mObjects) {
    names.insert(it.mName);
    Set(aKind, table, it, aNow);
  }
  std::vector<std::string> missing;
  for (const auto& [name, object] : table.mObjects) {
    if (names.count(name) == 0) {
      missing.push_back(name);
    }
  }
  for (const auto& it : missing) {
    Erase(aKind, table, { it, aSnapshot.mAsOf, true, {}, mayHaveLapsed }, aNow);
  }
  if (!table.mIsKnown || isNewEra) {
    table.mChangesFrom = aSnapshot.mAsOf;
  } else {
    // The list does not show objects that came and went since the last state.
    table.mChangesFrom = std::max(table.mChangesFrom, table.mListedTo);
    table.mListedFrom = table.mAsOf;
    table.mListedTo = aSnapshot.mAsOf;
  }
  table.mIsKnown = true;
  table.mAsOf = aSnapshot.mAsOf;
}

/** Returns the latest revision at which a removal that a watch reports can have taken place. An
   event that names the last change of the object and not the removal leaves it open up to the next
   event of that name, or the end of the page. */
StoreVersion StoreMirror::RemovalRevision(const KindTable& aTable,
                                          const StorePage& aEvents,
                                          std::vector<StoreObject>::const_iterator aEvent)
{
  const auto known = aTable.mObjects.find(aEvent->mName);
  if (known == aTable.mObjects.end() || known->second.mRevision != aEvent->mRevision) {
    return aEvent->mRevision;
  }
  const auto next =
    std::find_if(aEvent + 1, aEvents.mObjects.end(), [&](const StoreObject& aLater) {
      return aLater.mName == aEvent->mName;
    });
  return next == aEvents.mObjects.end() ? std::max(aEvent->mRevision, aEvents.mAsOf)
                                        : std::max(aEvent->mRevision, next->mRevision - 1);
}

void StoreMirror::Apply(ObjectKind aKind, const StorePage& aEvents, TimePoint aNow)
{
  auto& table = mKinds[aKind];
  for (auto it = aEvents.mObjects.begin(); it != aEvents.mObjects.end(); ++it) {
    if (it->mIsDeleted) {
      Erase(aKind, table, { it->mName, RemovalRevision(table, aEvents, it), true, {} }, aNow);
    } else if (it->mRevision > table.mAsOf) {
      // Older events are known from another instance; the object may have been removed since.
      Set(aKind, table, *it, aNow);
    }
  }
  table.mAsOf = std::max(table.mAsOf, aEvents.mAsOf);
}

bool StoreMirror::Apply(ObjectKind aKind, const KindChanges& aChanges, TimePoint aNow)
{
  auto& table = mKinds[aKind];
  if (!table.mIsKnown || aChanges.mSince > table.mAsOf) {
    return false;
  }
  if (aChanges.mAsOf <= table.mAsOf) {
    return true;
  }
  for (const auto& it : aChanges.mObjects) {
    if (it.mIsDeleted) {
      Erase(aKind, table, it, aNow);
    } else {
      Set(aKind, table, it, aNow);
    }
  }
  table.mAsOf = aChanges.mAsOf;
  return true;
}

void StoreMirror::Confirm(ObjectKind aKind, std::uint64_t aDigest, StoreVersion aAsOf)
{
  auto& table = mKinds[aKind];
  if (table.mIsKnown && table.mDigest == aDigest) {
    table.mAsOf = std::max(table.mAsOf, aAsOf);
  }
}

std::optional<KindChanges> StoreMirror::ChangesSince(ObjectKind aKind, StoreVersion aRevision) const
{
  const auto& table = Table(aKind);
  const bool isWithinList = aRevision > table.mListedFrom && aRevision < table.mListedTo;
  if (!table.mIsKnown || aRevision < table.mChangesFrom || isWithinList) {
    return std::nullopt;
  }
  KindChanges changes{ aRevision, table.mAsOf, {} };
  for (const auto& it : table.mRemoved) {
    if (it.mRevision > aRevision && table.mObjects.count(it.mName) == 0) {
      changes.mObjects.push_back(it);
    }
  }
  for (const auto& [name, object] : table.mObjects) {
    if (object.mRevision > aRevision) {
      changes.mObjects.push_back(object);
    }
  }
  return changes;
}

bool StoreMirror::IsKnown(ObjectKind aKind) const
{
  return Table(aKind).mIsKnown;
}

StoreVersion StoreMirror::AsOf(ObjectKind aKind) const
{
  return Table(aKind).mAsOf;
}

std::uint64_t StoreMirror::Era() const
{
  std::uint64_t era = 0;
  for (const auto& [kind, table] : mKinds) {
    era = std::max(era, EraOf(table.mAsOf));
  }
  return era;
}

std::uint64_t StoreMirror::Digest(ObjectKind aKind) const
{
  return Table(aKind).mDigest;
}

TimePoint StoreMirror::ChangedAt(ObjectKind aKind) const
{
  return Table(aKind).mChangedAt;
}

KindSnapshot StoreMirror::Snapshot(ObjectKind aKind) const
{
  const auto& table = Table(aKind);
  KindSnapshot snapshot{ table.mAsOf, {} };
  for (const auto& [name, object] : table.mObjects) {
    snapshot.mObjects.push_back(object);
  }
  return snapshot;
}

const StoreObject* StoreMirror::Find(ObjectKind aKind, const std::string& aName) const
{
  const auto& objects = Table(aKind).mObjects;
  const auto found = objects.find(aName);
  return found == objects.end() ? nullptr : &found->second;
}

bool IsRoutingStateKnown(const StoreMirror& aMirror, const std::vector<ObjectKind>& aFollowed)
{
  return std::all_of(aFollowed.begin(), aFollowed.end(), [&](ObjectKind aKind) {
    return aKind == ObjectKind::Instances || aMirror.IsKnown(aKind);
  });
}

} // namespace skylarkchute
