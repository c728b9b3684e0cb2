#pragma once

#include "FollowerOptions.h"
#include "FollowerOutput.h"

#include <map>
#include <optional>
#include <vector>

namespace skylarkchute {

/** Decides whether the generation in force may be treated as the newest one.

    It may if the store confirmed it, directly or through a peer, within
    FollowerOptions::mConfirmationMaxAge. It also may if the store is down for the whole fleet: in
   every zone with other instances a peer was observed within that time to agree, and none was
   observed to have a confirmation from within it. A peer agrees if it has the same generation in
   force and still knows when that was last confirmed, that is, it was not restarted or paused
   since. An instance without contact to some zone cannot distinguish a store outage from a network
    partition, and needs confirmation. */
class GenerationConfirmation
{
public:
  explicit GenerationConfirmation(const FollowerOptions& aOptions);

  /** Detects pauses of the process. Call at every input.
      @returns true if the process was paused since the last call; all confirmations and peer
               observations from before the end of the pause are then discarded */
  bool Tick(TimePoint aNow);

  /** Replaces the list of live instances. */
  void ApplyFleet(const std::vector<FleetMember>& aFleet);

  /** Records that the generation in force was the newest one at @p aAt. Ignored if that is before
      the end of the last pause. */
  void Confirm(TimePoint aAt);

  /** Sets whether the last store call failed. */
  void SetStoreFailing(bool aFailing) { mStoreFailing = aFailing; }

  /** Records the state that a peer reported at @p aNow.
      @param aAgrees       the peer has the same generation in force and knows when it was confirmed
      @param aConfirmedAt  when the store last confirmed the peer's generation, if known */
  void RecordPeerHead(const InstanceId& aPeer,
                      bool aAgrees,
                      std::optional<TimePoint> aConfirmedAt,
                      TimePoint aNow);

  /** Discards all peer observations. Call when another generation is put in force. */
  void ClearPeerObservations();

  /** Returns the time since the last confirmation; empty if there is none since the last pause. */
  std::optional<std::chrono::milliseconds> ConfirmedAge(TimePoint aNow) const;

  /** Returns whether the generation must be confirmed before a request is dispatched.
      @param aNewerKnown  a newer generation is known to exist; a store outage then does not replace
                          the confirmation */
  bool IsNeeded(bool aNewerKnown, TimePoint aNow) const;

  /** Returns the instances to request heads from: one in each zone where no peer was observed to
      agree within half of FollowerOptions::mConfirmationMaxAge. Empty unless store calls fail and
     the last confirmation, if any, is older than that half.
      @param aRotation  index, modulo the size of a zone, of the instance to ask there */
  std::vector<InstanceId> PeersToAsk(std::uint64_t aRotation, TimePoint aNow) const;

  /** Returns whether the last store call failed. */
  bool IsStoreFailing() const { return mStoreFailing; }

  /** Returns whether a peer message that arrives at @p aNow may have been sent before the end of
      the last pause. */
  bool IsSettling(TimePoint aNow) const;

private:
  struct PeerObservation
  {
    std::optional<TimePoint> mAgreedAt;
    std::optional<TimePoint> mConfirmedAt;
  };

  /** The other instances of one zone, and the latest times observed at any of them. */
  struct ZoneObservations
  {
    std::vector<InstanceId> mMembers;
    std::optional<TimePoint> mAgreedAt;
    std::optional<TimePoint> mConfirmedAt;
  };

  bool IsStoreDownFleetWide(TimePoint aNow) const;
  void UpdateZone(const InstanceId& aPeer, const PeerObservation& aObservation);

  FollowerOptions mOptions;
  std::optional<TimePoint> mLastTick;
  std::optional<TimePoint> mResumedAt;
  std::optional<TimePoint> mConfirmedAt;
  bool mStoreFailing = false;
  bool mFleetKnown = false;
  std::map<ZoneName, ZoneObservations> mZones;
  std::map<InstanceId, ZoneName> mZoneByInstance;
  std::map<InstanceId, PeerObservation> mPeerObservations;
};

} // namespace skylarkchute
