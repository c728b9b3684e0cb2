#include "ObjectTable.h"

namespace skylarkchute::standins {

std::optional<StoredObject> ObjectTable::Get(const std::string& aKey) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aKey);
  if (it == mObjects.end() || it->second.mDeleted) {
    return std::nullopt;
  }
  return it->second;
}

WriteResult ObjectTable::Put(const std::string& aKey,
                             const std::string& aBody,
                             std::optional<std::uint64_t> aIfMatch,
                             std::uint64_t& aWritten)
{
  if (aBody.size() > kMaxBodyBytes) {
    return WriteResult::TooLarge;
  }
  const std::lock_guard lock(mMutex);
  auto& object = mObjects[aKey];
  const bool present = object.mPosition != 0 && !object.mDeleted;
  const bool matches = aIfMatch ? present && object.mPosition == *aIfMatch : !present;
  if (!matches) {
    if (object.mPosition == 0) {
      mObjects.erase(aKey);
    }
    return WriteResult::Conflict;
  }
  object = { aKey, aBody, ++mPosition, false };
  aWritten = mPosition;
  mChanged.notify_all();
  return WriteResult::Written;
}

bool ObjectTable::Delete(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aKey);
  if (it == mObjects.end() || it->second.mDeleted) {
    return false;
  }
  it->second = { aKey, "", ++mPosition, true };
  mChanged.notify_all();
  return true;
}

ObjectPage ObjectTable::List(const std::string& aPrefix) const
{
  const std::lock_guard lock(mMutex);
  ObjectPage page{ mPosition, {} };
  for (const auto& it : ChangesAfter(aPrefix, 0)) {
    if (!it.mDeleted) {
      page.mObjects.push_back(it);
    }
  }
  return page;
}

ObjectPage ObjectTable::Watch(const std::string& aPrefix,
                              std::uint64_t aAfter,
                              std::chrono::milliseconds aWait) const
{
  std::unique_lock lock(mMutex);
  ObjectPage page;
  mChanged.wait_for(lock, aWait, [&] {
    page.mObjects = ChangesAfter(aPrefix, aAfter);
    return !page.mObjects.empty();
  });
  page.mPosition = mPosition;
  return page;
}

std::vector<StoredObject> ObjectTable::ChangesAfter(const std::string& aPrefix,
                                                    std::uint64_t aAfter) const
{
  std::vector<StoredObject> found;
  for (auto it = mObjects.lower_bound(aPrefix); it != mObjects.end(); ++it) {
    if (it->first.compare(0, aPrefix.size(), aPrefix) != 0) {
      break;
    }
    if (it->second.mPosition > aAfter) {
      found.push_back(it->second);
    }
  }
  return found;
}

} // namespace skylarkchute::standins
