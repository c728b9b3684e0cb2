#pragma once

#include <json/json.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace skylarkchute::standins {

/** The instance list of the platform stand-in. Safe to use from several threads. */
class InstanceTable
{
public:
  /** Adds or replaces an entry; @p aEntry has `id`, `address`, `port`, `zone`, `kind`, `state`. */
  void Put(const Json::Value& aEntry);

  /** Removes an entry. */
  void Remove(const std::string& aId);

  /** Returns `{position, instances}` as it was @p aLag ago, after waiting for a newer position
      than @p aAfter for at most @p aWait. */
  Json::Value Read(std::uint64_t aAfter,
                   std::chrono::milliseconds aWait,
                   std::chrono::milliseconds aLag) const;

private:
  struct Snapshot
  {
    std::chrono::steady_clock::time_point mAt;
    std::uint64_t mPosition = 0;
    std::map<std::string, Json::Value> mEntries;
  };

  void Append(std::map<std::string, Json::Value> aEntries);
  const Snapshot& Visible(std::chrono::milliseconds aLag) const;

  static constexpr std::size_t kMaxSnapshots = 256;

  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  std::deque<Snapshot> mSnapshots{ Snapshot{} };
};

} // namespace skylarkchute::standins
