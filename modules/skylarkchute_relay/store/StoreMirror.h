#pragma once

#include <platform/StoreCodec.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace skylarkchute {

/** Everything of one kind at one revision of the store. */
struct KindSnapshot
{
  std::uint64_t mAsOf = 0;
  std::vector<StoreObject> mObjects;
};

/** The newest state of the platform's store that this instance knows, from the store itself or from
    another instance. Never goes back. Free of I/O. */
class StoreMirror
{
public:
  /** Told of each object that changed or was removed, in the order of their names. */
  using Listener = std::function<void(ObjectKind, const StoreObject&)>;

  explicit StoreMirror(Listener aListener);

  /** Takes in a full list. An older one than what is known is ignored. */
  void Replace(ObjectKind aKind, const KindSnapshot& aSnapshot, TimePoint aNow);

  /** Takes in changes that follow the state known. */
  void Apply(ObjectKind aKind, const StorePage& aEvents, TimePoint aNow);

  /** Returns whether a kind was ever read in full. */
  bool IsKnown(ObjectKind aKind) const;

  /** Returns the revision up to which a kind is known. */
  std::uint64_t AsOf(ObjectKind aKind) const;

  /** Returns a hash of names and revisions: equal on instances that know the same. */
  std::uint64_t Digest(ObjectKind aKind) const;

  /** Returns when the kind changed last. */
  TimePoint ChangedAt(ObjectKind aKind) const;

  KindSnapshot Snapshot(ObjectKind aKind) const;

  /** Returns one object, or null. */
  const StoreObject* Find(ObjectKind aKind, const std::string& aName) const;

private:
  struct Kind
  {
    bool mIsKnown = false;
    std::uint64_t mAsOf = 0;
    std::uint64_t mDigest = 0;
    TimePoint mChangedAt{};
    std::map<std::string, StoreObject> mObjects;
  };

  void Set(ObjectKind aKind, Kind& aTable, const StoreObject& aObject, TimePoint aNow);
  void Erase(ObjectKind aKind, Kind& aTable, const std::string& aName, TimePoint aNow);
  const Kind& Table(ObjectKind aKind) const;

  Listener mListener;
  std::map<ObjectKind, Kind> mKinds;
};

} // namespace skylarkchute
