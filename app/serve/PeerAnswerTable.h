#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace skylarkchute {

/** Lets the threads of peer connections wait until the node answers their requests. Thread-safe. */
class PeerAnswerTable
{
public:
  /** Registers a request and returns its token. */
  std::uint64_t Open()
  {
    const std::lock_guard lock(mMutex);
    mEntries.emplace(mNextToken, Entry{});
    return mNextToken++;
  }

  /** Stores the answer to a request and wakes its waiter. Ignored once the request is removed.
      @param aResult  nothing if the request is refused */
  void Answer(std::uint64_t aToken, const std::optional<std::string>& aResult)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mEntries.find(aToken);
    if (it != mEntries.end()) {
      it->second = { true, aResult };
      mAnswered.notify_all();
    }
  }

  /** Waits for the answer, then removes the request.
      @returns nothing if the request was refused or the timeout expired */
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
