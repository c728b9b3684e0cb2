#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace skylarkchute {

/** The components of a node that call the object API. */
enum class StoreCaller
{
  Follower,
  Rolls,
  Registers,
  Usage,
  Keys,
};

/** Gives each object call of any component an id of its own and finds the component again. */
class StoreCallTable
{
public:
  /** A component and the id that it chose. */
  struct Origin
  {
    StoreCaller mCaller = StoreCaller::Follower;
    std::uint64_t mLocalId = 0;
  };

  /** Returns the call with an id that no other call of this node has. */
  ObjectCall Register(StoreCaller aCaller, ObjectCall aCall)
  {
    const auto id = mNextId++;
    mOrigins.emplace(id, Origin{ aCaller, aCall.mId });
    aCall.mId = id;
    return aCall;
  }

  /** Returns who made the call and forgets it; nothing when the id is unknown. */
  std::optional<Origin> Take(std::uint64_t aId)
  {
    const auto it = mOrigins.find(aId);
    if (it == mOrigins.end()) {
      return std::nullopt;
    }
    const auto origin = it->second;
    mOrigins.erase(it);
    return origin;
  }

  /** Returns how many calls are under way. */
  std::size_t Size() const { return mOrigins.size(); }

private:
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, Origin> mOrigins;
};

} // namespace skylarkchute
