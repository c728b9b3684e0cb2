#include "UsersStore.h"

namespace skylarkchute::standins {

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kHistoryGone = 410;

/** Most changes kept for watches; the oldest are discarded. */
constexpr std::size_t kMaxHistoryEvents = 1000;

std::uint64_t RevisionOf(const Json::Value& aObject)
{
  const auto& revision = aObject["Metadata"]["Revision"];
  return revision.isUInt64() ? revision.asUInt64() : 0;
}

/** Returns a part without `Seq`, which counts heartbeats; a heartbeat alone creates no
    new revision. */
Json::Value WithoutRenewalCount(Json::Value aPart)
{
  if (aPart.isObject()) {
    aPart.removeMember("Seq");
  }
  return aPart;
}

/** Returns whether the object has another revision than expected; zero matches any revision. */
bool HasRevisionConflict(std::uint64_t aExpectedRevision, const Json::Value& aObject)
{
  return aExpectedRevision != 0 && aExpectedRevision != RevisionOf(aObject);
}

} // namespace

UsersStore::Outcome UsersStore::List(const std::string& aKind,
                                     const std::string& aAfter,
                                     std::size_t aMost) const
{
  const std::lock_guard lock(mMutex);
  Json::Value page(Json::objectValue);
  page["Items"] = Json::Value(Json::arrayValue);
  auto it =
    aAfter.empty() ? mObjects.lower_bound({ aKind, "" }) : mObjects.upper_bound({ aKind, aAfter });
  for (; it != mObjects.end() && it->first.first == aKind && page["Items"].size() < aMost; ++it) {
    page["Items"].append(it->second);
  }
  page["HasMore"] = it != mObjects.end() && it->first.first == aKind;
  page["AsOf"] = Json::UInt64(mRevision);
  return { kOk, page };
}

UsersStore::Outcome UsersStore::Get(const Key& aKey) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mObjects.find(aKey);
  return found == mObjects.end() ? Outcome{ kNotFound, {} } : Outcome{ kOk, found->second };
}

Json::Value UsersStore::EventsAfter(const std::string& aKind, std::uint64_t aRevision) const
{
  Json::Value events(Json::arrayValue);
  for (const auto& it : mHistory) {
    if (it.mRevision > aRevision && it.mKind == aKind) {
      events.append(it.mEvent);
    }
  }
  return events;
}

UsersStore::Outcome UsersStore::Watch(const std::string& aKind,
                                      std::uint64_t aRevision,
                                      std::chrono::milliseconds aWait)
{
  const auto end = std::chrono::steady_clock::now() + aWait;
  std::unique_lock lock(mMutex);
  const auto era = mEra;
  const auto isGone = [&] {
    return aRevision < mHistoryStartRevision || aRevision > mRevision || era != mEra;
  };
  const auto cuts = mCuts;
  mChanged.wait_until(
    lock, end, [&] { return cuts != mCuts || isGone() || !EventsAfter(aKind, aRevision).empty(); });
  if (cuts != mCuts) {
    return { 0, {} };
  }
  if (isGone()) {
    return { kHistoryGone, {} };
  }
  Json::Value page(Json::objectValue);
  page["events"] = EventsAfter(aKind, aRevision);
  page["AsOf"] = Json::UInt64(mRevision);
  return { kOk, page };
}

void UsersStore::CutWatches()
{
  const std::lock_guard lock(mMutex);
  ++mCuts;
  mChanged.notify_all();
}

void UsersStore::RecordChange(const Key& aKey, const Json::Value& aObject, bool aIsDeleted)
{
  Json::Value event(Json::objectValue);
  event["Object"] = aObject;
  event["Deleted"] = aIsDeleted;
  mHistory.push_back({ mRevision, aKey.first, event });
  if (mHistory.size() > kMaxHistoryEvents) {
    mHistoryStartRevision = mHistory.front().mRevision;
    mHistory.pop_front();
  }
  mChanged.notify_all();
}

Json::Value& UsersStore::Store(const Key& aKey, Json::Value aObject)
{
  aObject["Metadata"]["Revision"] = Json::UInt64(++mRevision);
  auto& stored = mObjects[aKey] = std::move(aObject);
  RecordChange(aKey, stored, false);
  return stored;
}

UsersStore::Outcome UsersStore::Create(const std::string& aKind, const Json::Value& aBody)
{
  const std::lock_guard lock(mMutex);
  const Key key{ aKind, aBody["Metadata"]["Name"].asString() };
  const auto found = mObjects.find(key);
  if (found != mObjects.end()) {
    return { kConflict, found->second };
  }
  Json::Value object(Json::objectValue);
  object["Metadata"]["Name"] = key.second;
  object["Metadata"]["CreatedRev"] = Json::UInt64(mRevision + 1);
  object["Spec"] = aBody["Spec"];
  return { kCreated, Store(key, object) };
}

UsersStore::Outcome UsersStore::Replace(const Key& aKey,
                                        const char* aPart,
                                        const Json::Value& aBody)
{
  const std::lock_guard lock(mMutex);
  const auto found = mObjects.find(aKey);
  if (found == mObjects.end()) {
    return { kNotFound, {} };
  }
  if (HasRevisionConflict(RevisionOf(aBody), found->second)) {
    return { kConflict, found->second };
  }
  if (WithoutRenewalCount(found->second[aPart]) == WithoutRenewalCount(aBody[aPart])) {
    return { kOk, found->second };
  }
  auto object = found->second;
  object[aPart] = aBody[aPart];
  return { kOk, Store(aKey, object) };
}

UsersStore::Outcome UsersStore::Delete(const Key& aKey, std::uint64_t aRevision)
{
  const std::lock_guard lock(mMutex);
  const auto found = mObjects.find(aKey);
  if (found == mObjects.end()) {
    return { kNotFound, {} };
  }
  if (HasRevisionConflict(aRevision, found->second)) {
    return { kConflict, found->second };
  }
  auto object = found->second;
  mObjects.erase(found);
  object["Metadata"]["Revision"] = Json::UInt64(++mRevision);
  RecordChange(aKey, object, true);
  return { kOk, object };
}

void UsersStore::DropHistory()
{
  const std::lock_guard lock(mMutex);
  mHistory.clear();
  mHistoryStartRevision = ++mRevision;
  mChanged.notify_all();
}

void UsersStore::TakeCopy()
{
  const std::lock_guard lock(mMutex);
  mCopiedObjects = mObjects;
  mCopiedRevision = mRevision;
}

void UsersStore::RestoreCopy()
{
  const std::lock_guard lock(mMutex);
  mObjects = mCopiedObjects;
  mRevision = mCopiedRevision;
  mHistory.clear();
  mHistoryStartRevision = mRevision;
  ++mEra;
  mChanged.notify_all();
}

std::uint64_t UsersStore::Era() const
{
  const std::lock_guard lock(mMutex);
  return mEra;
}

} // namespace skylarkchute::standins
