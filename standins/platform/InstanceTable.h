#pragma once

#include <json/json.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace skylarkchute::standins {

/** Instance list of the platform stand-in, with its history. Safe to use from several threads. */
class InstanceTable
{
public:
  /** Adds or replaces an entry; @p aEntry has `id`, `address`, `port`, `zone`, `kind`, `state`. */
  void Put(const Json::Value& aEntry);

  /** Removes the entry with this id, if present. The position advances in either case. */
  void Remove(const std::string& aId);

  /** Returns the list as `{position, instances}`.
      @param aAfter  waits until the position is greater than this
      @param aWait   longest wait; the unchanged list is returned after it
      @param aLag    age of the list returned, to simulate propagation delay */
  Json::Value Read(std::uint64_t aAfter,
                   std::chrono::milliseconds aWait,
                   std::chrono::milliseconds aLag) const;

private:
  struct Snapshot
  {
    std::chrono::steady_clock::time_point mTakenAt;
    std::uint64_t mPosition = 0;
    std::map<std::string, Json::Value> mEntries;
  };

  void AppendSnapshot(std::map<std::string, Json::Value> aEntries);
  const Snapshot& VisibleSnapshot(std::chrono::milliseconds aLag) const;

  static constexpr std::size_t kMaxSnapshots = 256;

  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  std::deque<Snapshot> mSnapshots{ Snapshot{} };
};

} // namespace skylarkchute::standins
