#pragma once

#include "support/BundleStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylarkchute {

/** Several followers before one fake store under a manual clock. Watches wait; every message takes
    one step of 10 ms. */
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
    bool mStoreCut = false;
    std::vector<Generation> mGenerations; /**< Each generation put in force, in order. */
    std::vector<LogEvent> mEvents;
  };

  /** @param aCount  instances, spread over @p aZones zones; none is started */
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

  /** Starts an instance with empty memory. */
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
    Drop(aNode);
    Take(aNode, node.mFollower->Start(mClock.Now()));
  }

  void StartAll()
  {
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      Start(n);
    }
  }

  /** Ends an instance; what it holds is lost. */
  void Kill(std::size_t aNode)
  {
    mNodes[aNode].mRunning = false;
    mNodes[aNode].mFollower.reset();
    Drop(aNode);
  }

  /** Lets time pass; with gossip, each running instance tells one other of its head each second. */
  void Run(std::chrono::milliseconds aTime)
  {
    for (std::chrono::milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      mClock.Advance(kStep);
      Gossip();
      Deliver();
      for (std::size_t n = 0; n < mNodes.size(); ++n) {
        if (IsAwake(n)) {
          Take(n, mNodes[n].mFollower->Tick(mClock.Now()));
        }
      }
    }
  }

  /** Returns how many running instances have the generation in force. */
  std::size_t CountAt(Generation aGeneration) const
  {
    std::size_t count = 0;
    for (const auto& it : mNodes) {
      count += it.mRunning && it.mFollower->CurrentGeneration() == aGeneration ? 1 : 0;
    }
    return count;
  }

  /** Returns how many running instances need confirmation. */
  std::size_t CountInNeed() const
  {
    std::size_t count = 0;
    for (const auto& it : mNodes) {
      count += it.mRunning && it.mFollower->NeedsConfirmation(mClock.Now()) ? 1 : 0;
    }
    return count;
  }

  /** Returns how often an instance reported an event. */
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
  bool mGossips = true;
  std::uint64_t mPeerMessages = 0;
  std::uint64_t mPeerBytes = 0;
  /** May change a peer's answer on its way. */
  std::function<void(PeerPartsAnswer&)> mTamper;
  /** Returns whether the two instances cannot reach each other. */
  std::function<bool(std::size_t, std::size_t)> mIsCut;

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
    return IsAwake(aTo) && !(mIsCut && mIsCut(aFrom, aTo));
  }

  std::size_t IndexOf(const InstanceId& aId) const
  {
    std::size_t n = 0;
    while (mNodes[n].mId != aId) {
      ++n;
    }
    return n;
  }

  void Take(std::size_t aNode, FollowerOutput aOutput)
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

  void Drop(std::size_t aNode)
  {
    std::erase_if(mStoreCalls, [&](const StoreCall& aCall) { return aCall.mNode == aNode; });
    std::erase_if(mRequests, [&](const PeerMessage& aMessage) { return aMessage.mFrom == aNode; });
    std::erase_if(mResponses, [&](const PeerResponse& aReply) { return aReply.mTo == aNode; });
  }

  void Gossip()
  {
    ++mSteps;
    if (!mGossips || mSteps % 100 != 0) {
      return;
    }
    const auto now = mClock.Now();
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      const auto to = (n + 1 + mSteps / 100 % (mNodes.size() - 1)) % mNodes.size();
      if (to != n && IsAwake(n) && CanReach(n, to)) {
        Take(to, mNodes[to].mFollower->OnPeerHead(mNodes[n].mFollower->OwnHead(now), now));
      }
    }
  }

  bool IsDue(const StoreCall& aCall) const
  {
    const auto* watch = std::get_if<WatchObjects>(&aCall.mCall.mOperation);
    return !watch || mStore.IsInOutage() || mNodes[aCall.mNode].mStoreCut ||
           mStore.HasChanged(watch->mPrefix, watch->mAfter) ||
           mClock.Now() - aCall.mSentAt >= watch->mWait;
  }

  void Deliver()
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
      Take(it.mTo,
           it.mAnswer ? follower.OnPeerCopy(*it.mAnswer, now)
                      : follower.OnPeerFailure(it.mId, now));
    }
    auto requests = std::move(mRequests);
    mRequests.clear();
    for (auto& it : requests) {
      Answer(it);
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
      if (!mNodes[it.mNode].mStoreCut) {
        reply = mStore.Call(it.mCall);
      }
      Take(it.mNode, mNodes[it.mNode].mFollower->OnReply(reply, now));
    }
  }

  void Answer(const PeerMessage& aMessage)
  {
    PeerResponse response{ aMessage.mFrom, aMessage.mRequest.mId, std::nullopt };
    if (CanReach(aMessage.mFrom, aMessage.mTo)) {
      response.mAnswer = mNodes[aMessage.mTo].mFollower->Serve(aMessage.mRequest, mClock.Now());
      mPeerBytes += WritePartsAnswer(*response.mAnswer).size();
      ++mPeerMessages;
    }
    if (response.mAnswer && mTamper) {
      mTamper(*response.mAnswer);
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
