#include "StoreMirror.h"

#include <set>

namespace skylarkchute {

namespace {

std::uint64_t HashOf(const StoreObject& aObject)
{
  return StableHash(aObject.mName, aObject.mRevision);
}

} // namespace

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
  aTable.mDigest ^= HashOf(known);
  aTable.mChangedAt = aNow;
  mListener(aKind, known);
}

void StoreMirror::Erase(ObjectKind aKind,
                        KindTable& aTable,
                        const std::string& aName,
                        TimePoint aNow)
{
  const auto found = aTable.mObjects.find(aName);
  if (found == aTable.mObjects.end()) {
    return;
  }
  auto removed = std::move(found->second);
  aTable.mObjects.erase(found);
  aTable.mDigest ^= HashOf(removed);
  aTable.mChangedAt = aNow;
  removed.mIsDeleted = true;
  removed.mText.clear();
  mListener(aKind, removed);
}

void StoreMirror::Replace(ObjectKind aKind, const KindSnapshot& aSnapshot, TimePoint aNow)
{
  auto& table = mKinds[aKind];
  if (table.mIsKnown && aSnapshot.mAsOf < table.mAsOf) {
    return;
  }
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
    Erase(aKind, table, it, aNow);
  }
  table.mIsKnown = true;
  table.mAsOf = aSnapshot.mAsOf;
}

void StoreMirror::Apply(ObjectKind aKind, const StorePage& aEvents, TimePoint aNow)
{
  auto& table = mKinds[aKind];
  for (const auto& it : aEvents.mObjects) {
    if (it.mIsDeleted) {
      Erase(aKind, table, it.mName, aNow);
    } else {
      Set(aKind, table, it, aNow);
    }
  }
  table.mAsOf = std::max(table.mAsOf, aEvents.mAsOf);
}

bool StoreMirror::IsKnown(ObjectKind aKind) const
{
  return Table(aKind).mIsKnown;
}

std::uint64_t StoreMirror::AsOf(ObjectKind aKind) const
{
  return Table(aKind).mAsOf;
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

} // namespace skylarkchute
