#pragma once

#include "support/BundleStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** Several roll drivers on one fake store, with a manual clock. Store calls are answered in the
    step after they are sent, watch calls when the prefix changes, the wait ends or the store
    fails. */
class RollFleet
{
public:
  static constexpr std::chrono::milliseconds kStep{ 50 };

  struct Node
  {
    InstanceId mId;
    std::unique_ptr<RollDriver> mDriver;
    bool mRunning = false;
    bool mPaused = false;
    std::vector<RollShare> mShares;
  };

  RollFleet(std::size_t aCount, const std::string& aText, std::uint64_t aSeed = 1)
    : mBundle(ParseBundle(aText).value())
    , mHead(HeadOf(aText, 1))
    , mSeed(aSeed)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      mMembers.emplace_back("instance-" + std::to_string(n));
      mNodes.push_back({ mMembers.back(), nullptr, false, false, {} });
    }
    for (std::size_t n = 0; n < aCount; ++n) {
      Start(n);
    }
  }

  /** Starts or restarts an instance without any state. */
  void Start(std::size_t aNode)
  {
    auto& node = mNodes[aNode];
    RollDriverOptions options;
    options.mSelf = node.mId;
    options.mSeed = mSeed * 1000 + aNode;
    node.mDriver = std::make_unique<RollDriver>(options);
    node.mDriver->ApplyMembers(mMembers);
    node.mRunning = true;
    node.mPaused = false;
    DropCalls(aNode);
    HandleOutput(aNode, node.mDriver->ApplyBundle(mBundle, mHead, mClock.Now(), mClock.WallNow()));
  }

  void Kill(std::size_t aNode)
  {
    mNodes[aNode].mRunning = false;
    mNodes[aNode].mDriver.reset();
    DropCalls(aNode);
  }

  /** Applies a verdict on one instance. */
  void GiveVerdict(std::size_t aNode, const VersionVerdict& aVerdict)
  {
    HandleOutput(
      aNode, mNodes[aNode].mDriver->ApplyVerdict(kRoll, aVerdict, mClock.Now(), mClock.WallNow()));
  }

  /** Advances the clock by one step. Every full second each awake instance gets evidence of
      mRequestsPerSecond requests and the verdict mVerdict. */
  void Step()
  {
    mClock.Advance(kStep);
    DeliverCalls();
    const auto isFullSecond = ++mSteps % 20 == 0;
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      if (!IsAwake(n)) {
        continue;
      }
      auto& driver = *mNodes[n].mDriver;
      if (isFullSecond) {
        driver.AddEvidence({ EvidenceOfOneSecond() });
        GiveVerdict(n, mVerdict);
      }
      HandleOutput(n, driver.Tick(mClock.Now(), mClock.WallNow()));
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (std::chrono::milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      Step();
    }
  }

  /** Returns the record in the store. */
  std::optional<RollRecord> Stored() const
  {
    const auto body = mStore.Body(RollKey(1, kRoll));
    const auto record = ReadRollRecord(body);
    return record ? std::optional(*record) : std::nullopt;
  }

  /** Returns the index of the instance of rank 0. */
  std::size_t FirstDriver() const
  {
    const auto first = RendezvousOrder(RollKey(1, kRoll), mMembers, 1).front();
    std::size_t n = 0;
    while (mMembers[n] != first) {
      ++n;
    }
    return n;
  }

  bool IsAwake(std::size_t aNode) const { return mNodes[aNode].mRunning && !mNodes[aNode].mPaused; }

  inline static const RollName kRoll{ "small-2" };
  static constexpr std::uint64_t kRequestsPerSecond = 20;

  ManualClock mClock;
  FakeObjectStore mStore;
  std::vector<InstanceId> mMembers;
  std::vector<Node> mNodes;
  VersionVerdict mVerdict{ VersionCondition::Healthy, "" };
  std::uint64_t mRequestsPerSecond = kRequestsPerSecond;
  Bundle mBundle;
  BundleHead mHead;
  /** Called before each store call. */
  std::function<void(std::size_t, const ObjectCall&)> mBeforeCall;

private:
  struct StoreCall
  {
    std::size_t mNode;
    ObjectCall mCall;
    TimePoint mSentAt;
  };

  VersionEvidence EvidenceOfOneSecond() const
  {
    VersionEvidence evidence;
    evidence.mVersion = VersionId("small/2");
    evidence.mRequests = mRequestsPerSecond;
    return evidence;
  }

  void HandleOutput(std::size_t aNode, RollDriverOutput aOutput)
  {
    if (aOutput.mSharesChanged) {
      mNodes[aNode].mShares = aOutput.mShares;
    }
    for (auto& it : aOutput.mCalls) {
      mCalls.push_back({ aNode, std::move(it), mClock.Now() });
    }
  }

  void DropCalls(std::size_t aNode)
  {
    std::erase_if(mCalls, [&](const StoreCall& aCall) { return aCall.mNode == aNode; });
  }

  bool IsDue(const StoreCall& aCall) const
  {
    const auto* watch = std::get_if<WatchObjects>(&aCall.mCall.mOperation);
    return !watch || mStore.IsInOutage() || mStore.HasChanged(watch->mPrefix, watch->mAfter) ||
           mClock.Now() - aCall.mSentAt >= watch->mWait;
  }

  void DeliverCalls()
  {
    auto calls = std::move(mCalls);
    mCalls.clear();
    for (auto& it : calls) {
      if (!mNodes[it.mNode].mRunning) {
        continue;
      }
      if (!IsAwake(it.mNode) || !IsDue(it)) {
        mCalls.push_back(std::move(it));
        continue;
      }
      if (mBeforeCall) {
        mBeforeCall(it.mNode, it.mCall);
      }
      if (!mNodes[it.mNode].mRunning) {
        continue;
      }
      const auto reply = mStore.Call(it.mCall);
      if (mNodes[it.mNode].mRunning) {
        HandleOutput(it.mNode,
                     mNodes[it.mNode].mDriver->OnReply(reply, mClock.Now(), mClock.WallNow()));
      }
    }
  }

  std::uint64_t mSeed;
  std::uint64_t mSteps = 0;
  std::deque<StoreCall> mCalls;
};

} // namespace skylarkchute
