#pragma once

#include "support/BundleStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** Several roll drivers before one fake store under a manual clock. Every message takes one step.
 */
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

  /** Starts an instance with empty memory. */
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
    Drop(aNode);
    Take(aNode, node.mDriver->ApplyBundle(mBundle, mHead, mClock.Now(), mClock.WallNow()));
  }

  void Kill(std::size_t aNode)
  {
    mNodes[aNode].mRunning = false;
    mNodes[aNode].mDriver.reset();
    Drop(aNode);
  }

  /** Gives a verdict to one instance. */
  void GiveVerdict(std::size_t aNode, const VersionVerdict& aVerdict)
  {
    Take(aNode,
         mNodes[aNode].mDriver->ApplyVerdict(kRoll, aVerdict, mClock.Now(), mClock.WallNow()));
  }

  /** Lets one step pass: 10 requests of evidence and a healthy verdict each second, unless told
      otherwise. */
  void Step()
  {
    mClock.Advance(kStep);
    Deliver();
    const auto second = ++mSteps % 20 == 0;
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      if (!IsAwake(n)) {
        continue;
      }
      auto& driver = *mNodes[n].mDriver;
      if (second) {
        driver.AddEvidence({ EvidenceOfOneSecond() });
        GiveVerdict(n, mVerdict);
      }
      Take(n, driver.Tick(mClock.Now(), mClock.WallNow()));
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

  /** Returns the instance that is first in order to drive. */
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

  void Take(std::size_t aNode, RollDriverOutput aOutput)
  {
    if (aOutput.mSharesChanged) {
      mNodes[aNode].mShares = aOutput.mShares;
    }
    for (auto& it : aOutput.mCalls) {
      mCalls.push_back({ aNode, std::move(it), mClock.Now() });
    }
  }

  void Drop(std::size_t aNode)
  {
    std::erase_if(mCalls, [&](const StoreCall& aCall) { return aCall.mNode == aNode; });
  }

  bool IsDue(const StoreCall& aCall) const
  {
    const auto* watch = std::get_if<WatchObjects>(&aCall.mCall.mOperation);
    return !watch || mStore.IsInOutage() || mStore.HasChanged(watch->mPrefix, watch->mAfter) ||
           mClock.Now() - aCall.mSentAt >= watch->mWait;
  }

  void Deliver()
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
        Take(it.mNode, mNodes[it.mNode].mDriver->OnReply(reply, mClock.Now(), mClock.WallNow()));
      }
    }
  }

  std::uint64_t mSeed;
  std::uint64_t mSteps = 0;
  std::deque<StoreCall> mCalls;
};

} // namespace skylarkchute
