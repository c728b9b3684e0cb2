#pragma once

#include "FollowerOptions.h"
#include "FollowerOutput.h"
#include "PartCache.h"

#include "../watch/RetryDelay.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** Fetches the missing parts of one head at a time.

    Within a zone one instance, chosen by rendezvous hashing, reads them from the platform at once;
    the others ask it a few times, then take turns between the platform and any peer. */
class PartFetcher
{
public:
  PartFetcher(const FollowerOptions& aOptions, PartCache& aCache);

  /** Replaces the list of live instances. */
  void ApplyFleet(const std::vector<FleetMember>& aFleet);

  /** Begins to fetch what is missing of a head, in place of an earlier one. */
  void Begin(const BundleHead& aHead, TimePoint aNow);

  /** Stops fetching. */
  void Stop();

  /** Adds calls that are due. @param aNextId  counts ids for calls and peer requests */
  void Poll(std::uint64_t& aNextId, TimePoint aNow, FollowerOutput& aOutput);

  /** Takes in a reply to a store call; returns whether it was for this fetcher. */
  bool OnReply(const ObjectReply& aReply, TimePoint aNow, FollowerOutput& aOutput);

  /** Takes in the parts of an answer; returns whether it was for this fetcher. */
  bool OnAnswer(const PeerPartsAnswer& aAnswer, TimePoint aNow, FollowerOutput& aOutput);

  /** Takes in that a peer request failed. */
  void OnPeerFailure(std::uint64_t aId, TimePoint aNow);

private:
  struct PartCall
  {
    std::uint64_t mId = 0;
    std::string mHash;
  };

  /** Adds a part to the cache, or reports it as damaged. @returns whether it was intact */
  bool Accept(const BundlePart& aPart, const std::string& aSource, FollowerOutput& aOutput);

  bool AsksOwner() const;
  std::optional<InstanceId> PeerToAsk() const;
  void AskPeer(const InstanceId& aPeer, std::uint64_t& aNextId, FollowerOutput& aOutput);
  void AskPlatform(const std::vector<std::string>& aMissing,
                   std::uint64_t& aNextId,
                   FollowerOutput& aOutput);
  void EndRound(TimePoint aNow);
  void SkipOwner();

  FollowerOptions mOptions;
  PartCache& mCache;
  RetryDelay mDelay;
  std::vector<FleetMember> mFleet;
  std::optional<BundleHead> mHead;
  std::vector<InstanceId> mZoneOrder;  /**< Rendezvous order of the own zone for mHead. */
  std::vector<InstanceId> mFleetOrder; /**< Other instances in rendezvous order for mHead. */
  std::uint32_t mAttempt = 0;
  bool mRoundOpen = false;
  std::vector<PartCall> mCalls;
  std::optional<std::uint64_t> mPeerRequest;
  TimePoint mDeadline;
  TimePoint mNextAt;
};

} // namespace skylarkchute
