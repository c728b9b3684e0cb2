#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

/** Keeps the key ring of session tokens and tickets: reads it, makes it if absent, rotates it.

    Any instance may rotate; the owner by rendezvous hashing does, to save calls. Both are
    conditional writes, so two owners cost a conflict. Old keys still verify until they leave the
    ring, which is longer than a session lives. */
class KeySystem
{
public:
  explicit KeySystem(NodeParts& aParts);

  /** Takes in the live instances, this one among them. */
  void SetMembers(std::vector<InstanceId> aMembers) { mMembers = std::move(aMembers); }

  /** Takes in the outcome of a call of this system. */
  void StoreReplied(const ObjectReply& aReply, EventContext& aContext);

  /** Reads the ring when it is due. */
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
