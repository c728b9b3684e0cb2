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

    Keeps one long-polling watch on the head, fetches missing parts from a peer in its zone or from
    the platform, verifies the hash of every part and never returns to an older generation. Also
    learns of newer generations from peers, so that it stays up to date while only its own
    connection to the store is down.

    Does no I/O and uses no threads or clocks: every input is given the current time, and the output
    lists the calls and requests to send. Each of them must be completed by OnReply, OnPeerAnswer or
    OnPeerFailure. */
class BundleFollower
{
public:
  explicit BundleFollower(const FollowerOptions& aOptions);

  /** Starts following the head. Call once, before the other inputs. */
  FollowerOutput Start(TimePoint aNow);

  /** Replaces the list of live entry instances, which may include this one. */
  void ApplyFleet(const std::vector<FleetMember>& aFleet);

  /** Processes the reply to a store call of an earlier output. */
  FollowerOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Processes the bundle state that a peer attaches to every message. */
  FollowerOutput OnPeerHead(const PeerHead& aHead, TimePoint aNow);

  /** Processes the answer to a peer request of an earlier output. */
  FollowerOutput OnPeerAnswer(const PeerPartsAnswer& aAnswer, TimePoint aNow);

  /** Processes the failure of a peer request of an earlier output. */
  FollowerOutput OnPeerFailure(std::uint64_t aRequestId, TimePoint aNow);

  /** Runs retries and timeouts. Call every 10 to 100 ms. */
  FollowerOutput Tick(TimePoint aNow);

  /** Returns the answer to a peer's request, with the parts in this instance's cache. */
  PeerPartsAnswer Serve(const PeerPartsRequest& aRequest, TimePoint aNow) const;

  /** Returns the bundle state to attach to every message to a peer. */
  PeerHead LocalHead(TimePoint aNow) const;

  /** Returns the bundle in force, or null before the first one. */
  std::shared_ptr<const Bundle> Current() const { return mBundle; }

  /** Returns the generation in force, or 0 before the first one. */
  Generation CurrentGeneration() const { return mHead ? mHead->mGeneration : 0; }

  /** Returns the head of the bundle in force, empty before the first one. */
  const std::optional<BundleHead>& Head() const { return mHead; }

  /** Returns whether requests must be answered `not-run`, because no bundle is in force or its
      generation may be outdated: after a pause of the process, or when it was not confirmed within
      FollowerOptions::mConfirmationMaxAge. During a store outage of the whole fleet an older
     confirmation is enough. @see GenerationConfirmation */
  bool NeedsConfirmation(TimePoint aNow) const;

  /** Returns the time since the store confirmed the generation in force as the newest, directly or
      through a peer; empty if it was not confirmed since the start or the last pause. */
  std::optional<std::chrono::milliseconds> ConfirmedAge(TimePoint aNow) const;

private:
  struct HeadRequest
  {
    std::uint64_t mId = 0;
    TimePoint mSentAt;
  };

  void BeginInput(TimePoint aNow);
  FollowerOutput FinishInput(TimePoint aNow, FollowerOutput aOutput);
  void ProcessPrefixUpdate(const PrefixUpdate& aUpdate, TimePoint aNow, FollowerOutput& aOutput);
  void ProcessPlatformHead(const std::string& aBody,
                           TimePoint aConfirmedAt,
                           TimePoint aNow,
                           FollowerOutput& aOutput);
  void ReportOlderHead(Generation aStoreGeneration, FollowerOutput& aOutput);
  void ProcessHead(const BundleHead& aHead,
                   const std::string& aJson,
                   TimePoint aNow,
                   FollowerOutput& aOutput);
  void ConfirmHead(const BundleHead& aHead, TimePoint aConfirmedAt);
  void ProcessPeerHead(const PeerHead& aHead, TimePoint aSentAt, TimePoint aNow);
  void PutPendingInForce(FollowerOutput& aOutput);
  void RequestPeerHeads(TimePoint aNow, FollowerOutput& aOutput);
  void RequestPeerHead(const InstanceId& aPeer, TimePoint aNow, FollowerOutput& aOutput);
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
  std::optional<TimePoint> mPendingConfirmedAt; /**< When mPending was last confirmed. */
  Generation mRejectedGeneration = 0;           /**< Newest generation that could not be parsed. */
  Generation mNewestKnown = 0; /**< Newest generation reported by the store or a peer. */
  std::optional<InstanceId> mNewestKnownPeer;
  TimePoint mRequestNewestAt;

  std::uint64_t mNextId = 1;
  std::vector<HeadRequest> mHeadRequests;
  TimePoint mNextHeadRequestAt;
  bool mRequestHeadAfterPause = false;
  bool mOlderHeadReported = false;
  bool mReportedConfirmationNeeded = false;
};

} // namespace skylarkchute
