#pragma once

#include "FollowerOptions.h"
#include "FollowerOutput.h"
#include "PartCache.h"

#include "../watch/RetryDelay.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** Fetches the missing parts of one head at a time, in rounds of one peer request or several
    platform reads.

    One instance of each zone, the owner, is selected by rendezvous hashing and reads the parts from
    the platform immediately. The others first request them from the owner a few times, and then
    alternate between the platform and other peers. */
class PartFetcher
{
public:
  PartFetcher(const FollowerOptions& aOptions, PartCache& aCache);

  /** Replaces the list of live instances. */
  void ApplyFleet(const std::vector<FleetMember>& aFleet);

  /** Starts fetching the missing parts of a head; replaces an earlier head. */
  void Begin(const BundleHead& aHead, TimePoint aNow);

  /** Stops fetching. */
  void Stop();

  /** Adds the calls and peer requests that are due.
      @param aNextId  the next unused id; incremented for each call and request */
  void Poll(std::uint64_t& aNextId, TimePoint aNow, FollowerOutput& aOutput);

  /** Processes a reply to a store call. @returns whether it was for this fetcher */
  bool OnReply(const ObjectReply& aReply, TimePoint aNow, FollowerOutput& aOutput);

  /** Processes a peer's answer. @returns whether it was for this fetcher */
  bool OnAnswer(const PeerPartsAnswer& aAnswer, TimePoint aNow, FollowerOutput& aOutput);

  /** Processes the failure of a peer request; ignores one that is not for this fetcher. */
  void OnPeerFailure(std::uint64_t aId, TimePoint aNow);

private:
  struct PartCall
  {
    std::uint64_t mId = 0;
    std::string mHash;
  };

  /** Adds a part to the cache, or logs it as damaged. @returns whether it was intact */
  bool AddPart(const BundlePart& aPart, const std::string& aSource, FollowerOutput& aOutput);

  bool ShouldAskOwner() const;
  std::optional<InstanceId> SelectPeer() const;
  void RequestFromPeer(const InstanceId& aPeer, std::uint64_t& aNextId, FollowerOutput& aOutput);
  void RequestFromPlatform(const std::vector<std::string>& aMissing,
                           std::uint64_t& aNextId,
                           FollowerOutput& aOutput);
  void EndRound(TimePoint aNow);
  void SkipOwner();

  FollowerOptions mOptions;
  PartCache& mCache;
  RetryDelay mDelay;
  std::vector<FleetMember> mFleet;
  std::optional<BundleHead> mHead;
  std::vector<InstanceId> mZoneOrder;  /**< This zone in rendezvous order for mHead; owner first. */
  std::vector<InstanceId> mFleetOrder; /**< Other instances, ordered for mHead and mSelf. */
  std::uint32_t mAttempt = 0;
  bool mRoundActive = false;
  std::vector<PartCall> mCalls;
  std::optional<std::uint64_t> mPeerRequest;
  TimePoint mDeadline;
  TimePoint mNextRoundAt;
};

} // namespace skylarkchute
