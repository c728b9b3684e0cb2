#pragma once

#include "FollowerOptions.h"
#include "FollowerOutput.h"
#include "GenerationConfirmation.h"
#include "PartCache.h"
#include "PartFetcher.h"
#include "PeerMessages.h"

#include "../watch/PrefixWatch.h"

#include <map>
#include <memory>
#include <optional>

namespace skylarkchute {

/** Keeps the newest accepted bundle in force on one instance.

    Holds one waiting watch on the head, fetches missing parts from a peer of its zone or from the
    platform, checks every part by its hash and never goes down in generation. Learns of newer
    generations from peers too, so that it follows while only its own way to the store is lost.

    Free of I/O, threads and clocks: each input carries the time, and the output says what to do.
    Every call and request of an output must be answered by OnReply, OnPeerCopy or OnPeerFailure. */
class BundleFollower
{
public:
  explicit BundleFollower(const FollowerOptions& aOptions);

  /** Begins to follow. Call once, before the other inputs. */
  FollowerOutput Start(TimePoint aNow);

  /** Replaces the list of live entry instances; this one may be among them. */
  void ApplyFleet(const std::vector<FleetMember>& aFleet);

  /** Takes in the reply to a call of an earlier output. */
  FollowerOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Takes in what any message of a peer says of its bundle. */
  FollowerOutput OnPeerHead(const PeerHead& aHead, TimePoint aNow);

  /** Takes in the answer to a peer request of an earlier output. */
  FollowerOutput OnPeerCopy(const PeerPartsAnswer& aAnswer, TimePoint aNow);

  /** Takes in that a peer request of an earlier output got no answer. */
  FollowerOutput OnPeerFailure(std::uint64_t aRequestId, TimePoint aNow);

  /** Drives retries and time limits. Call every 10 to 100 ms. */
  FollowerOutput Tick(TimePoint aNow);

  /** Answers a peer's request from what this instance holds. */
  PeerPartsAnswer Serve(const PeerPartsRequest& aRequest, TimePoint aNow) const;

  /** Returns what messages to peers say of this instance's bundle. */
  PeerHead OwnHead(TimePoint aNow) const;

  /** Returns the bundle in force, null before the first one. */
  std::shared_ptr<const Bundle> Current() const { return mBundle; }

  /** Returns the generation in force, 0 before the first one. */
  Generation CurrentGeneration() const { return mHead ? mHead->mGeneration : 0; }

  /** Returns the head in force. */
  const std::optional<BundleHead>& Head() const { return mHead; }

  /** Returns whether requests must be answered `not-run` because the generation in force may be
      outdated: after a pause, or when it was not confirmed within the freshness bound. */
  bool NeedsConfirmation(TimePoint aNow) const;

  /** Returns how long ago the store confirmed the generation, directly or through peers. */
  std::optional<std::chrono::milliseconds> ConfirmedAge(TimePoint aNow) const;

private:
  struct HeadRequest
  {
    std::uint64_t mId = 0;
    TimePoint mSentAt;
  };

  void Enter(TimePoint aNow);
  FollowerOutput Leave(TimePoint aNow, FollowerOutput aOutput);
  void TakeSighting(const PrefixSighting& aSighting, TimePoint aNow, FollowerOutput& aOutput);
  void TakePlatformHead(const std::string& aBody,
                        TimePoint aConfirmedAt,
                        TimePoint aNow,
                        FollowerOutput& aOutput);
  void NoteHeadBehind(Generation aShown, FollowerOutput& aOutput);
  void TakeHead(const BundleHead& aHead,
                const std::string& aJson,
                TimePoint aNow,
                FollowerOutput& aOutput);
  void ConfirmHead(const BundleHead& aHead, TimePoint aConfirmedAt);
  void TakePeerHead(const PeerHead& aHead, TimePoint aSentAt, TimePoint aNow);
  void PutPendingInForce(FollowerOutput& aOutput);
  void AskForHeads(TimePoint aNow, FollowerOutput& aOutput);
  void AskForHead(const InstanceId& aPeer, TimePoint aNow, FollowerOutput& aOutput);
  void ReportConfirmation(TimePoint aNow, FollowerOutput& aOutput);
  std::optional<InstanceId> RandomPeer();

  FollowerOptions mOptions;
  RetryDelay mDelay;
  PrefixWatch mWatch;
  GenerationConfirmation mConfirmation;
  PartCache mCache;
  PartFetcher mFetcher;
  std::vector<InstanceId> mPeers;

  std::shared_ptr<const Bundle> mBundle;
  std::optional<BundleHead> mHead;
  std::string mHeadJson;
  std::optional<BundleHead> mPending;
  std::string mPendingJson;
  std::optional<TimePoint> mPendingConfirmedAt; /**< When mPending was the newest head. */
  Generation mRefused = 0;                      /**< Newest generation that could not be parsed. */
  Generation mKnownNewest = 0;                  /**< Newest generation that anybody told of. */
  std::optional<InstanceId> mNewestFrom;
  TimePoint mAskNewestAt;

  std::uint64_t mNextId = 1;
  std::vector<HeadRequest> mHeadRequests;
  TimePoint mNextAskAt;
  bool mAskAfterPause = false;
  bool mHeadBehind = false;
  bool mReportedNeed = false;
};

} // namespace skylarkchute
