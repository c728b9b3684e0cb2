#pragma once

#include "FollowerOptions.h"
#include "FollowerOutput.h"

#include <map>
#include <optional>
#include <vector>

namespace skylarkchute {

/** Decides whether the generation in force may be trusted to be the newest one.

    It may while the store, or a peer that passes on what the store said, confirmed it within the
    freshness bound. It also may while the store is down for all: every zone with other instances
    has a witness that was heard within the bound, and nobody heard sees the store. A witness has
    the same generation in force and an unbroken memory of its confirmation. An instance that cannot
    hear some zone cannot tell an outage from being cut off, and needs confirmation. */
class GenerationConfirmation
{
public:
  explicit GenerationConfirmation(const FollowerOptions& aOptions);

  /** Notes that the process runs.
      @returns true when it was paused since the last tick; nothing confirmed or heard before the
               end of the pause counts any more */
  bool Tick(TimePoint aNow);

  /** Replaces the list of live instances. */
  void ApplyFleet(const std::vector<FleetMember>& aFleet);

  /** Takes in that the generation in force was the newest one at @p aAt. */
  void Confirm(TimePoint aAt);

  /** Takes in that the last store call succeeded or not. */
  void SetStoreFailing(bool aFailing) { mStoreFailing = aFailing; }

  /** Takes in a sign of life of a peer.
      @param aIsWitness    the peer has the generation in force here, and it was once confirmed
      @param aConfirmedAt  when the store last confirmed the peer's generation, if ever */
  void Hear(const InstanceId& aPeer,
            bool aIsWitness,
            std::optional<TimePoint> aConfirmedAt,
            TimePoint aNow);

  /** Forgets what was heard, since another generation is in force. */
  void ForgetWitnesses();

  /** Returns how long ago the generation was confirmed, or nothing. */
  std::optional<std::chrono::milliseconds> ConfirmedAge(TimePoint aNow) const;

  /** Returns whether the generation must be confirmed before a dispatch.
      @param aNewerKnown  a newer generation exists, so that an outage is no excuse */
  bool IsNeeded(bool aNewerKnown, TimePoint aNow) const;

  /** Returns one instance of each zone without a witness heard within half of the freshness bound,
     while the store fails and the last confirmation is as old; they should be asked for their
     heads.
      @param aTurn  chooses among the instances of a zone */
  std::vector<InstanceId> PeersToAsk(std::uint64_t aTurn, TimePoint aNow) const;

  /** Returns whether the last store call failed. */
  bool IsStoreFailing() const { return mStoreFailing; }

  /** Returns whether a notice that arrives at @p aNow may be from before a pause. */
  bool IsSettling(TimePoint aNow) const;

private:
  struct SignOfLife
  {
    std::optional<TimePoint> mWitnessedAt;
    std::optional<TimePoint> mConfirmedAt;
  };

  /** The other instances of one zone, and the latest signs of life of any of them. */
  struct ZoneSigns
  {
    std::vector<InstanceId> mMembers;
    std::optional<TimePoint> mWitnessedAt;
    std::optional<TimePoint> mConfirmedAt;
  };

  bool IsStoreDownForAll(TimePoint aNow) const;
  void CountSign(const InstanceId& aPeer, const SignOfLife& aSign);

  FollowerOptions mOptions;
  std::optional<TimePoint> mLastTick;
  std::optional<TimePoint> mResumedAt;
  std::optional<TimePoint> mConfirmedAt;
  bool mStoreFailing = false;
  bool mFleetKnown = false;
  std::map<ZoneName, ZoneSigns> mZones;
  std::map<InstanceId, ZoneName> mZoneOf;
  std::map<InstanceId, SignOfLife> mHeard;
};

} // namespace skylarkchute
