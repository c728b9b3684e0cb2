#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace skylarkchute {

/** Calls that a FakeObjectStore carried out, and the bytes of the bodies moved. */
struct ObjectCallCounts
{
  std::uint64_t mReads = 0;  /**< Gets, lists and watches. */
  std::uint64_t mWrites = 0; /**< Puts and deletes. */
  std::uint64_t mBytesRead = 0;
  std::uint64_t mBytesWritten = 0;
};

/** What a FakeObjectStore does to one call. */
enum class StoreFault
{
  None,
  Unavailable,     /**< Refuses the call; nothing is written. */
  LostBefore,      /**< Nothing is written, and the caller sees Unknown. */
  LostAfterEffect, /**< The call takes effect, but the caller sees Unknown. */
};

/** An object store in memory with conditional updates, outages and lost answers.

    A watch never waits: it returns what changed so far, possibly nothing. */
class FakeObjectStore final : public ObjectApi
{
public:
  /** Decides on a fault for each call; called before the call has any effect. */
  using FaultFunction = std::function<StoreFault(const ObjectCall&)>;

  ObjectReply Call(const ObjectCall& aCall) override
  {
    ++mCalls;
    const auto fault = NextFault(aCall);
    if (fault == StoreFault::Unavailable) {
      return Failure(aCall, ObjectStatus::Unavailable);
    }
    if (fault == StoreFault::LostBefore) {
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

  /** Installs a fault function; an empty one removes it. */
  void SetFaults(FaultFunction aFaults) { mFaults = std::move(aFaults); }

  /** Applies a fault to the call after @p aSkipped further ones. */
  void FailOnce(std::uint64_t aSkipped, StoreFault aFault)
  {
    mFailAtCall = mCalls + aSkipped + 1;
    mFailWith = aFault;
  }

  /** Returns how many calls were made, failed ones included. */
  std::uint64_t Calls() const { return mCalls; }

  /** Returns what the calls that took effect moved. */
  const ObjectCallCounts& Counts() const { return mCounts; }

  /** Sets the counts to zero. */
  void ResetCounts() { mCounts = {}; }

  /** Returns the body of an object, empty when it is absent. Not counted. */
  std::string Body(const std::string& aKey) const
  {
    const auto it = mObjects.find(aKey);
    return it == mObjects.end() ? std::string() : it->second.mBody;
  }

  /** Returns the keys below a prefix. Not counted. */
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

  /** Writes an object unconditionally, as a platform restored from a backup might. Not counted. */
  void Overwrite(const std::string& aKey, const std::string& aBody) { Store(aKey, aBody); }

  /** Returns whether something below the prefix was written after the position. Not counted. */
  bool HasChanged(const std::string& aPrefix, std::uint64_t aAfter) const
  {
    return std::any_of(mObjects.begin(), mObjects.end(), [&](const auto& aEntry) {
      return aEntry.second.mPosition > aAfter && aEntry.first.rfind(aPrefix, 0) == 0;
    });
  }

  /** Returns whether every call is refused. */
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
    const auto holds =
      aOperation.mIfMatch ? !absent && VersionOf(it->second) == *aOperation.mIfMatch : absent;
    if (!holds) {
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
