#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace skylarkchute {

/** Numbers of calls executed by a FakeObjectStore, and the body bytes they transferred. */
struct ObjectCallCounts
{
  std::uint64_t mReads = 0;  /**< Gets, lists and watches. */
  std::uint64_t mWrites = 0; /**< Puts and deletes. */
  std::uint64_t mBytesRead = 0;
  std::uint64_t mBytesWritten = 0;
};

/** Fault that a FakeObjectStore injects into one call. */
enum class StoreFault
{
  None,
  Unavailable,      /**< The call is refused and has no effect. */
  LostBeforeEffect, /**< The call has no effect; the caller receives Unknown. */
  LostAfterEffect,  /**< The call takes effect, but the caller receives Unknown. */
};

/** In-memory object store with conditional updates and injected faults.

    A watch does not block: it returns the changes so far, possibly none. */
class FakeObjectStore final : public ObjectApi
{
public:
  /** Returns the fault to inject into a call; called before the call has any effect. */
  using FaultFunction = std::function<StoreFault(const ObjectCall&)>;

  ObjectReply Call(const ObjectCall& aCall) override
  {
    ++mCalls;
    const auto fault = NextFault(aCall);
    if (fault == StoreFault::Unavailable) {
      return Failure(aCall, ObjectStatus::Unavailable);
    }
    if (fault == StoreFault::LostBeforeEffect) {
      return Failure(aCall, ObjectStatus::Unknown);
    }
    auto reply =
      std::visit([&](const auto& aOperation) { return Run(aOperation); }, aCall.mOperation);
    if (fault == StoreFault::LostAfterEffect) {
      return Failure(aCall, ObjectStatus::Unknown);
    }
    reply.mId = aCall.mId;
    return reply;
  }

  /** Refuses every call while set. */
  void SetOutage(bool aOutage) { mOutage = aOutage; }

  /** Sets the fault function; an empty one removes it. */
  void SetFaults(FaultFunction aFaults) { mFaults = std::move(aFaults); }

  /** Injects a fault into one call, after @p aSkipped further calls. */
  void FailOnce(std::uint64_t aSkipped, StoreFault aFault)
  {
    mFailAtCall = mCalls + aSkipped + 1;
    mFailWith = aFault;
  }

  /** Returns the number of calls made, including failed ones. */
  std::uint64_t Calls() const { return mCalls; }

  /** Returns the counts of the executed calls. */
  const ObjectCallCounts& Counts() const { return mCounts; }

  /** Resets the counts to zero. */
  void ResetCounts() { mCounts = {}; }

  /** Returns the body of an object, or an empty string if it does not exist. Not counted. */
  std::string Body(const std::string& aKey) const
  {
    const auto it = mObjects.find(aKey);
    return it == mObjects.end() ? std::string() : it->second.mBody;
  }

  /** Returns the keys that start with a prefix. Not counted. */
  std::vector<std::string> Keys(const std::string& aPrefix) const
  {
    std::vector<std::string> keys;
    for (const auto& [key, object] : mObjects) {
      if (key.rfind(aPrefix, 0) == 0) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  /** Writes an object unconditionally, for example to simulate a platform restored from a backup.
      Not counted. */
  void Overwrite(const std::string& aKey, const std::string& aBody) { Store(aKey, aBody); }

  /** Returns whether an object under the prefix was written after the position. Not counted. */
  bool HasChanged(const std::string& aPrefix, std::uint64_t aAfter) const
  {
    return std::any_of(mObjects.begin(), mObjects.end(), [&](const auto& aEntry) {
      return aEntry.second.mPosition > aAfter && aEntry.first.rfind(aPrefix, 0) == 0;
    });
  }

  /** Returns whether an outage is set. */
  bool IsInOutage() const { return mOutage; }

  /** Removes an object. Not counted. */
  void Remove(const std::string& aKey) { mObjects.erase(aKey); }

private:
  struct StoredObject
  {
    std::string mBody;
    std::uint64_t mPosition = 0;
  };

  struct Deletion
  {
    std::string mKey;
    std::uint64_t mPosition = 0;
  };

  StoreFault NextFault(const ObjectCall& aCall)
  {
    if (mOutage) {
      return StoreFault::Unavailable;
    }
    if (mFailAtCall != 0 && mCalls == mFailAtCall) {
      mFailAtCall = 0;
      return mFailWith;
    }
    return mFaults ? mFaults(aCall) : StoreFault::None;
  }

  static ObjectReply Failure(const ObjectCall& aCall, ObjectStatus aStatus)
  {
    ObjectReply reply;
    reply.mId = aCall.mId;
    reply.mStatus = aStatus;
    return reply;
  }

  static ObjectReply WithStatus(ObjectStatus aStatus)
  {
    ObjectReply reply;
    reply.mStatus = aStatus;
    return reply;
  }

  static ObjectVersion VersionOf(const StoredObject& aObject)
  {
    return { std::to_string(aObject.mPosition) };
  }

  void Store(const std::string& aKey, const std::string& aBody)
  {
    mObjects[aKey] = { aBody, ++mPosition };
  }

  ObjectReply Run(const GetObject& aOperation)
  {
    ++mCounts.mReads;
    const auto it = mObjects.find(aOperation.mKey);
    if (it == mObjects.end()) {
      return WithStatus(ObjectStatus::NotFound);
    }
    auto reply = WithStatus(ObjectStatus::Ok);
    reply.mVersion = VersionOf(it->second);
    reply.mBody = it->second.mBody;
    mCounts.mBytesRead += reply.mBody.size();
    return reply;
  }

  ObjectReply Run(const PutObject& aOperation)
  {
    ++mCounts.mWrites;
    const auto it = mObjects.find(aOperation.mKey);
    const auto absent = it == mObjects.end();
    const auto conditionMet =
      aOperation.mIfMatch ? !absent && VersionOf(it->second) == *aOperation.mIfMatch : absent;
    if (!conditionMet) {
      return WithStatus(ObjectStatus::Conflict);
    }
    Store(aOperation.mKey, aOperation.mBody);
    mCounts.mBytesWritten += aOperation.mBody.size();
    auto reply = WithStatus(ObjectStatus::Ok);
    reply.mVersion = VersionOf(mObjects[aOperation.mKey]);
    return reply;
  }

  ObjectReply Run(const DeleteObject& aOperation)
  {
    ++mCounts.mWrites;
    if (mObjects.erase(aOperation.mKey) == 0) {
      return WithStatus(ObjectStatus::NotFound);
    }
    mDeletions.push_back({ aOperation.mKey, ++mPosition });
    return WithStatus(ObjectStatus::Ok);
  }

  ObjectReply Run(const ListObjects& aOperation) { return Entries(aOperation.mPrefix, 0); }

  ObjectReply Run(const WatchObjects& aOperation)
  {
    auto reply = Entries(aOperation.mPrefix, aOperation.mAfter);
    for (const auto& it : mDeletions) {
      if (it.mPosition > aOperation.mAfter && it.mKey.rfind(aOperation.mPrefix, 0) == 0) {
        reply.mEntries.push_back({ it.mKey, {}, "", true });
      }
    }
    return reply;
  }

  ObjectReply Entries(const std::string& aPrefix, std::uint64_t aAfter)
  {
    ++mCounts.mReads;
    auto reply = WithStatus(ObjectStatus::Ok);
    reply.mPosition = mPosition;
    for (auto it = mObjects.lower_bound(aPrefix);
         it != mObjects.end() && it->first.rfind(aPrefix, 0) == 0;
         ++it) {
      if (it->second.mPosition > aAfter) {
        reply.mEntries.push_back({ it->first, VersionOf(it->second), it->second.mBody, false });
        mCounts.mBytesRead += it->second.mBody.size();
      }
    }
    return reply;
  }

  std::map<std::string, StoredObject> mObjects;
  std::vector<Deletion> mDeletions;
  std::uint64_t mPosition = 0;
  std::uint64_t mCalls = 0;
  std::uint64_t mFailAtCall = 0;
  StoreFault mFailWith = StoreFault::None;
  ObjectCallCounts mCounts;
  FaultFunction mFaults;
  bool mOutage = false;
};

} // namespace skylarkchute
