#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

/** Manages the key ring that signs session tokens and tickets: reads it periodically, creates it if
    it is absent, and rotates it.

    Any instance could rotate the ring; to save calls, only the owner by rendezvous hashing does.
    Creation and rotation are conditional writes, so if two instances consider themselves the owner,
    one write fails with a conflict. A replaced key still verifies tokens until it leaves the ring,
    which takes longer than the lifetime of a session. */
class KeySystem
{
public:
  explicit KeySystem(NodeParts& aParts);

  /** Sets the live instances, with this one among them. */
  void SetMembers(std::vector<InstanceId> aMembers) { mMembers = std::move(aMembers); }

  /** Processes the outcome of a call that this system made. */
  void StoreReplied(const ObjectReply& aReply, EventContext& aContext);

  /** Reads the key ring when the read period has passed. */
  void Tick(EventContext& aContext);

private:
  enum class Stage
  {
    Idle,
    Reading,
    Writing,
  };

  void ApplyKeyRing(const KeyRing& aRing);
  void Write(const KeyRing& aRing, std::optional<ObjectVersion> aIfMatch, EventContext& aContext);
  SigningKey CreateKey(WallTime aWall);
  bool IsRotationDue(const KeyRing& aRing, WallTime aWall) const;

  NodeParts& mParts;
  std::vector<InstanceId> mMembers;
  Stage mStage = Stage::Idle;
  TimePoint mNextReadTime;
  std::uint64_t mNextId = 1;
  std::uint64_t mKeysCreated = 0;
};

} // namespace skylarkchute
