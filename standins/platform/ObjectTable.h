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

/** One object, or the mark of a deleted one. */
struct StoredObject
{
  std::string mKey;
  std::string mBody;
  std::uint64_t mPosition = 0; /**< Of its last change; doubles as its version. */
  bool mDeleted = false;
};

/** What a list or watch returns. */
struct ObjectPage
{
  std::uint64_t mPosition = 0;
  std::vector<StoredObject> mObjects;
};

enum class WriteResult
{
  Written,
  Conflict,
  TooLarge,
};

/** The objects of the platform stand-in. Safe to use from several threads. */
class ObjectTable
{
public:
  static constexpr std::size_t kMaxBodyBytes = 1'048'576;

  /** Returns the object, unless it is absent. */
  std::optional<StoredObject> Get(const std::string& aKey) const;

  /** Writes if the object has version @p aIfMatch, or if it is absent when none is given.
      @param aWritten  receives the new position */
  WriteResult Put(const std::string& aKey,
                  const std::string& aBody,
                  std::optional<std::uint64_t> aIfMatch,
                  std::uint64_t& aWritten);

  /** Deletes the object if it is there. */
  bool Delete(const std::string& aKey);

  /** Returns every object below the prefix. */
  ObjectPage List(const std::string& aPrefix) const;

  /** Waits until something below the prefix changed after a position, then returns the changes. */
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
