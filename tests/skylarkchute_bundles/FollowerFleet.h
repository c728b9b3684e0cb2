#pragma once

#include "support/BundleStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylarkchute {

/** Simulates several followers and one fake store with a manual clock. Watches return on a change
    or after their wait; every message takes one step of 10 ms. */
class FollowerFleet
{
public:
  static constexpr std::chrono::milliseconds kStep{ 10 };

  struct Node
  {
    InstanceId mId;
    ZoneName mZone;
    std::unique_ptr<BundleFollower> mFollower;
    bool mRunning = false;
    bool mPaused = false;
    bool mStoreUnreachable = false;
    std::vector<Generation> mGenerations; /**< All generations put in force, in order. */
    std::vector<LogEvent> mEvents;
  };

  /** @param aCount  number of instances, distributed over @p aZones zones; none is started */
  FollowerFleet(std::size_t aCount, std::size_t aZones, std::uint64_t aSeed = 1)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      Node node;
      node.mId = InstanceId("instance-" + std::to_string(n));
      node.mZone = ZoneName("zone-" + std::to_string(n % aZones));
      mMembers.push_back({ node.mId, node.mZone });
      mNodes.push_back(std::move(node));
    }
    mSeed = aSeed;
  }

  /** Starts an instance without any state. */
  void Start(std::size_t aNode)
  {
    auto& node = mNodes[aNode];
    FollowerOptions options;
    options.mSelf = node.mId;
    options.mZone = node.mZone;
    options.mSeed = mSeed * 1000 + aNode;
    node.mFollower = std::make_unique<BundleFollower>(options);
    node.mFollower->ApplyFleet(mMembers);
    node.mRunning = true;
    node.mPaused = false;
    node.mGenerations.clear();
    DropMessages(aNode);
    ApplyOutput(aNode, node.mFollower->Start(mClock.Now()));
  }

  void StartAll()
  {
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      Start(n);
    }
  }

  /** Stops an instance and discards its state and pending messages. */
  void Kill(std::size_t aNode)
  {
    mNodes[aNode].mRunning = false;
    mNodes[aNode].mFollower.reset();
    DropMessages(aNode);
  }

  /** Advances the clock step by step. With gossip, each running instance sends its head to one
      other every second. */
  void Run(std::chrono::milliseconds aTime)
  {
    for (std::chrono::milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      mClock.Advance(kStep);
      Gossip();
      DeliverMessages();
      for (std::size_t n = 0; n < mNodes.size(); ++n) {
        if (IsAwake(n)) {
          ApplyOutput(n, mNodes[n].mFollower->Tick(mClock.Now()));
        }
      }
    }
  }

  /** Returns the number of running instances with the generation in force. */
  std::size_t CountAtGeneration(Generation aGeneration) const
  {
    std::size_t count = 0;
    for (const auto& it : mNodes) {
      count += it.mRunning && it.mFollower->CurrentGeneration() == aGeneration ? 1 : 0;
    }
    return count;
  }

  /** Returns the number of running instances that need confirmation. */
  std::size_t CountNeedingConfirmation() const
  {
    std::size_t count = 0;
    for (const auto& it : mNodes) {
      count += it.mRunning && it.mFollower->NeedsConfirmation(mClock.Now()) ? 1 : 0;
    }
    return count;
  }

  /** Returns the number of times that an instance logged an event. */
  std::size_t CountEvents(std::size_t aNode, const EventDescription& aEvent) const
  {
    const auto& events = mNodes[aNode].mEvents;
    return static_cast<std::size_t>(
      std::count_if(events.begin(), events.end(), [&](const LogEvent& aLogged) {
        return aLogged.mDescription == &aEvent;
      }));
  }

  ManualClock mClock;
  FakeObjectStore mStore;
  std::vector<Node> mNodes;
  std::vector<FleetMember> mMembers;
  bool mGossipEnabled = true;
  std::uint64_t mPeerMessages = 0;
  std::uint64_t mPeerBytes = 0;
  /** Modifies the peer answers in transit. */
  std::function<void(PeerPartsAnswer&)> mModifyAnswer;
  /** Returns whether two instances cannot reach each other. */
  std::function<bool(std::size_t, std::size_t)> mIsPartitioned;

private:
  struct StoreCall
  {
    std::size_t mNode;
    ObjectCall mCall;
    TimePoint mSentAt;
  };

  struct PeerMessage
  {
    std::size_t mFrom;
    std::size_t mTo;
    PeerPartsRequest mRequest;
  };

  struct PeerResponse
  {
    std::size_t mTo;
    std::uint64_t mId;
    std::optional<PeerPartsAnswer> mAnswer;
  };

  bool IsAwake(std::size_t aNode) const { return mNodes[aNode].mRunning && !mNodes[aNode].mPaused; }

  bool CanReach(std::size_t aFrom, std::size_t aTo) const
  {
    return IsAwake(aTo) && !(mIsPartitioned && mIsPartitioned(aFrom, aTo));
  }

  std::size_t IndexOf(const InstanceId& aId) const
  {
    std::size_t n = 0;
    while (mNodes[n].mId != aId) {
      ++n;
    }
    return n;
  }

  void ApplyOutput(std::size_t aNode, FollowerOutput aOutput)
  {
    auto& node = mNodes[aNode];
    if (aOutput.mBundleChanged) {
      node.mGenerations.push_back(node.mFollower->CurrentGeneration());
    }
    for (auto& it : aOutput.mEvents) {
      node.mEvents.push_back(std::move(it));
    }
    for (auto& it : aOutput.mCalls) {
      mStoreCalls.push_back({ aNode, std::move(it), mClock.Now() });
    }
    for (auto& it : aOutput.mPeerRequests) {
      mPeerBytes += WritePartsRequest(it).size();
      ++mPeerMessages;
      mRequests.push_back({ aNode, IndexOf(it.mTo), std::move(it) });
    }
  }

  void DropMessages(std::size_t aNode)
  {
    std::erase_if(mStoreCalls, [&](const StoreCall& aCall) { return aCall.mNode == aNode; });
    std::erase_if(mRequests, [&](const PeerMessage& aMessage) { return aMessage.mFrom == aNode; });
    std::erase_if(mResponses, [&](const PeerResponse& aReply) { return aReply.mTo == aNode; });
  }

  void Gossip()
  {
    ++mSteps;
    if (!mGossipEnabled || mSteps % 100 != 0) {
      return;
    }
    const auto now = mClock.Now();
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      const auto to = (n + 1 + mSteps / 100 % (mNodes.size() - 1)) % mNodes.size();
      if (to != n && IsAwake(n) && CanReach(n, to)) {
        ApplyOutput(to, mNodes[to].mFollower->OnPeerHead(mNodes[n].mFollower->LocalHead(now), now));
      }
    }
  }

  bool IsDue(const StoreCall& aCall) const
  {
    const auto* watch = std::get_if<WatchObjects>(&aCall.mCall.mOperation);
    return !watch || mStore.IsInOutage() || mNodes[aCall.mNode].mStoreUnreachable ||
           mStore.HasChanged(watch->mPrefix, watch->mAfter) ||
           mClock.Now() - aCall.mSentAt >= watch->mWait;
  }

  void DeliverMessages()
  {
    const auto now = mClock.Now();
    auto responses = std::move(mResponses);
    mResponses.clear();
    for (auto& it : responses) {
      if (!IsAwake(it.mTo)) {
        mResponses.push_back(std::move(it));
        continue;
      }
      auto& follower = *mNodes[it.mTo].mFollower;
      ApplyOutput(it.mTo,
                  it.mAnswer ? follower.OnPeerAnswer(*it.mAnswer, now)
                             : follower.OnPeerFailure(it.mId, now));
    }
    auto requests = std::move(mRequests);
    mRequests.clear();
    for (auto& it : requests) {
      AnswerRequest(it);
    }
    auto calls = std::move(mStoreCalls);
    mStoreCalls.clear();
    for (auto& it : calls) {
      if (!IsAwake(it.mNode) || !IsDue(it)) {
        mStoreCalls.push_back(std::move(it));
        continue;
      }
      ObjectReply reply;
      reply.mId = it.mCall.mId;
      reply.mStatus = ObjectStatus::Unavailable;
      if (!mNodes[it.mNode].mStoreUnreachable) {
        reply = mStore.Call(it.mCall);
      }
      ApplyOutput(it.mNode, mNodes[it.mNode].mFollower->OnReply(reply, now));
    }
  }

  void AnswerRequest(const PeerMessage& aMessage)
  {
    PeerResponse response{ aMessage.mFrom, aMessage.mRequest.mId, std::nullopt };
    if (CanReach(aMessage.mFrom, aMessage.mTo)) {
      response.mAnswer = mNodes[aMessage.mTo].mFollower->Serve(aMessage.mRequest, mClock.Now());
      mPeerBytes += WritePartsAnswer(*response.mAnswer).size();
      ++mPeerMessages;
    }
    if (response.mAnswer && mModifyAnswer) {
      mModifyAnswer(*response.mAnswer);
    }
    mResponses.push_back(std::move(response));
  }

  std::uint64_t mSeed = 1;
  std::uint64_t mSteps = 0;
  std::deque<StoreCall> mStoreCalls;
  std::deque<PeerMessage> mRequests;
  std::deque<PeerResponse> mResponses;
};

} // namespace skylarkchute
