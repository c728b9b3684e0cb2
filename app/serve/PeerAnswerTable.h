#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace skylarkchute {

/** Holds the connections of peers until the node answers their requests. Safe to use from several
    threads. */
class PeerAnswerTable
{
public:
  /** Returns a token for a new request. */
  std::uint64_t Open()
  {
    const std::lock_guard lock(mMutex);
    mEntries.emplace(mNextToken, Entry{});
    return mNextToken++;
  }

  /** Answers a request; ignored when nobody waits any more. */
  void Answer(std::uint64_t aToken, const std::optional<std::string>& aResult)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mEntries.find(aToken);
    if (it != mEntries.end()) {
      it->second = { true, aResult };
      mAnswered.notify_all();
    }
  }

  /** Waits for the answer and forgets the request. @returns nothing when refused or too late */
  std::optional<std::string> Wait(std::uint64_t aToken, std::chrono::milliseconds aTimeout)
  {
    std::unique_lock lock(mMutex);
    mAnswered.wait_for(lock, aTimeout, [&] { return mEntries.at(aToken).mDone; });
    auto result = std::move(mEntries.at(aToken).mResult);
    mEntries.erase(aToken);
    return result;
  }

private:
  struct Entry
  {
    bool mDone = false;
    std::optional<std::string> mResult;
  };

  std::mutex mMutex;
  std::condition_variable mAnswered;
  std::map<std::uint64_t, Entry> mEntries;
  std::uint64_t mNextToken = 1;
};

} // namespace skylarkchute
