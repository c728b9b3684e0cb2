#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute::standins {

/** An object, or the tombstone of a deleted one. */
struct StoredObject
{
  std::string mKey;
  std::string mBody;
  std::uint64_t mPosition = 0; /**< Position of its last change; also its version. */
  bool mDeleted = false;       /**< Whether this is a tombstone. */
};

/** Result of a list or watch call. */
struct ObjectPage
{
  std::uint64_t mPosition = 0; /**< Last change of the whole table. */
  std::vector<StoredObject> mObjects;
};

enum class WriteResult
{
  Written,
  Conflict,
  TooLarge,
};

/** Versioned objects of the platform stand-in. Safe to use from several threads. */
class ObjectTable
{
public:
  static constexpr std::size_t kMaxBodyBytes = 1'048'576;

  /** Returns the object, or nothing if it is absent or deleted. */
  std::optional<StoredObject> Get(const std::string& aKey) const;

  /** Writes an object conditionally.
      @param aIfMatch  version that the object must have; without it, the object must be absent
      @param aWritten  receives the new version, on success only
      @returns Conflict if the condition fails, TooLarge if the body exceeds kMaxBodyBytes */
  WriteResult Put(const std::string& aKey,
                  const std::string& aBody,
                  std::optional<std::uint64_t> aIfMatch,
                  std::uint64_t& aWritten);

  /** Deletes an object. @returns false if it is absent */
  bool Delete(const std::string& aKey);

  /** Returns every object whose key starts with the prefix, without tombstones. */
  ObjectPage List(const std::string& aPrefix) const;

  /** Waits for changes to keys that start with the prefix.
      @param aAfter  returns the changes after this position
      @param aWait   longest wait; the page has no objects after it
      @returns the latest state of each object changed, with tombstones */
  ObjectPage Watch(const std::string& aPrefix,
                   std::uint64_t aAfter,
                   std::chrono::milliseconds aWait) const;

private:
  std::vector<StoredObject> ChangesAfter(const std::string& aPrefix, std::uint64_t aAfter) const;

  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  std::map<std::string, StoredObject> mObjects;
  std::uint64_t mPosition = 0;
};

} // namespace skylarkchute::standins
