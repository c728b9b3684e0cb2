#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

/** Whether a member is considered to be running. */
enum class MemberState
{
  Alive,
  Suspect, /**< Did not answer, but may still refute that it is dead. */
  Dead,
};

/** What a member does with the platform's store. */
enum class StoreRole
{
  None,    /**< Receives changes from other members. */
  Follows, /**< Watches the store. */
  Fails,   /**< Tries to watch the store, which does not serve it. */
};

/** What is said of a member. A higher version replaces a lower one; only the member itself
    increases its version. For equal versions, the later state in MemberState wins. */
struct MemberUpdate
{
  MemberRecord mRecord;
  std::uint64_t mVersion = 0;
  MemberState mState = MemberState::Alive;
  StoreRole mRole = StoreRole::None;
};

/** The part of a message that concerns the membership. */
struct MembershipMessage
{
  MemberUpdate mFrom;
  std::vector<MemberUpdate> mUpdates;
  std::uint64_t mDigest = 0; /**< Of the live members that the sender knows. */
  bool mWantsAll = false;    /**< The response should list all members. */
};

/** A member that became live or dead. */
struct MemberChange
{
  std::string mName;
  bool mIsLive = false;
};

} // namespace skylarkchute
