#include "InstanceTable.h"

namespace skylarkchute::standins {

namespace {

constexpr std::chrono::milliseconds kLagPollInterval{ 20 };

} // namespace

void InstanceTable::Put(const Json::Value& aEntry)
{
  const std::lock_guard lock(mMutex);
  auto entries = mSnapshots.back().mEntries;
  entries[aEntry["id"].asString()] = aEntry;
  AppendSnapshot(std::move(entries));
}

void InstanceTable::Remove(const std::string& aId)
{
  const std::lock_guard lock(mMutex);
  auto entries = mSnapshots.back().mEntries;
  entries.erase(aId);
  AppendSnapshot(std::move(entries));
}

Json::Value InstanceTable::Read(std::uint64_t aAfter,
                                std::chrono::milliseconds aWait,
                                std::chrono::milliseconds aLag) const
{
  const auto deadline = std::chrono::steady_clock::now() + aWait;
  std::unique_lock lock(mMutex);
  while (VisibleSnapshot(aLag).mPosition <= aAfter && std::chrono::steady_clock::now() < deadline) {
    mChanged.wait_for(lock, kLagPollInterval);
  }
  const auto& snapshot = VisibleSnapshot(aLag);
  Json::Value page(Json::objectValue);
  page["position"] = Json::UInt64(snapshot.mPosition);
  page["instances"] = Json::Value(Json::arrayValue);
  for (const auto& [id, entry] : snapshot.mEntries) {
    page["instances"].append(entry);
  }
  return page;
}

void InstanceTable::AppendSnapshot(std::map<std::string, Json::Value> aEntries)
{
  const auto position = mSnapshots.back().mPosition + 1;
  mSnapshots.push_back({ std::chrono::steady_clock::now(), position, std::move(aEntries) });
  if (mSnapshots.size() > kMaxSnapshots) {
    mSnapshots.pop_front();
  }
  mChanged.notify_all();
}

const InstanceTable::Snapshot& InstanceTable::VisibleSnapshot(std::chrono::milliseconds aLag) const
{
  const auto cutoff = std::chrono::steady_clock::now() - aLag;
  for (auto it = mSnapshots.rbegin(); it != mSnapshots.rend(); ++it) {
    if (it->mTakenAt <= cutoff) {
      return *it;
    }
  }
  return mSnapshots.front();
}

} // namespace skylarkchute::standins
