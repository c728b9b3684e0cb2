#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace skylarkchute {

/** The components of a node that call the object API. */
enum class CallingComponent
{
  Follower,
  Rolls,
  Registers,
  Usage,
  Keys,
};

/** Assigns each object API call a unique id and maps the id of a reply back to the component that
    made the call. */
class StoreCallTable
{
public:
  /** The calling component and the id that it chose for the call. */
  struct Origin
  {
    CallingComponent mComponent = CallingComponent::Follower;
    std::uint64_t mLocalId = 0;
  };

  /** Registers a call and returns it with an id that is unique on this node. */
  ObjectCall Register(CallingComponent aComponent, ObjectCall aCall)
  {
    const auto id = mNextId++;
    mOrigins.emplace(id, Origin{ aComponent, aCall.mId });
    aCall.mId = id;
    return aCall;
  }

  /** Removes a call and returns its origin, or std::nullopt if the id is unknown. */
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

  /** Returns the number of calls without a reply. */
  std::size_t Size() const { return mOrigins.size(); }

private:
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, Origin> mOrigins;
};

} // namespace skylarkchute
