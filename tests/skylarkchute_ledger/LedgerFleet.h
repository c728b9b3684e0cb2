#pragma once

#include "support/DelayedObjectStore.h"

#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <functional>
#include <memory>
#include <set>

namespace skylarkchute {

/** Simulates several instances with claims and usage records, one shared store and a peer network
    with latency.

    Messages to a paused instance are deferred until it resumes. A killed instance is replaced by a
    new incarnation, and messages to the old one fail. */
class LedgerFleet
{
public:
  using Milliseconds = std::chrono::milliseconds;

  /** One instance. */
  struct Node
  {
    std::size_t mIndex = 0;
    std::size_t mIncarnationNumber = 0;
    IncarnationId mIncarnation;
    std::unique_ptr<RegisterService> mRegisters;
    std::unique_ptr<ClaimManager> mClaims;
    std::unique_ptr<UsageLedger> mUsage;
    bool mPaused = false;
    std::vector<std::function<void()>> mDeferred; /**< Events to run on resumption. */
  };

  LedgerFleet(std::uint32_t aSeed, DelayedObjectStore::Options aFaults)
    : mAsync(mStore, aFaults, aSeed)
    , mRandom(aSeed + 17)
  {
    for (std::size_t n = 0; n < kMembers; ++n) {
      mNodes.push_back(std::make_unique<Node>());
      mNodes.back()->mIndex = n;
      StartIncarnation(*mNodes.back());
    }
    Tick();
  }

  /** Called with each answer to a claim, and the index of the instance. */
  std::function<void(std::size_t, const ClaimAnswer&)> mOnAnswer;
  /** Called with each request of UsageOutput::mReleasedRequests, and the index of the instance. */
  std::function<void(std::size_t, const RequestId&)> mOnSafe;

  Node& At(std::size_t aIndex) { return *mNodes[aIndex]; }

  std::size_t Size() const { return mNodes.size(); }

  /** Returns a random number from 0 to @p aMax. */
  std::uint32_t Draw(std::uint32_t aMax)
  {
    return boost::random::uniform_int_distribution<std::uint32_t>(0, aMax)(mRandom);
  }

  void Claim(std::size_t aIndex, const ClaimRequest& aRequest)
  {
    HandleOutput(aIndex, At(aIndex).mClaims->Claim(aRequest, mClock.Now(), mClock.WallNow()));
  }

  void Finish(std::size_t aIndex, const RequestId& aRequest, const ClaimOutcome& aOutcome)
  {
    HandleOutput(aIndex, At(aIndex).mClaims->Finish(aRequest, aOutcome, mClock.Now()));
  }

  void Abandon(std::size_t aIndex, const RequestId& aRequest)
  {
    HandleOutput(aIndex, At(aIndex).mClaims->Abandon(aRequest, mClock.Now()));
  }

  void Record(std::size_t aIndex, const UsageRecord& aRecord)
  {
    HandleOutput(aIndex, At(aIndex).mUsage->Record(aRecord, mClock.Now()));
  }

  void Flush(std::size_t aIndex) { HandleOutput(aIndex, At(aIndex).mUsage->Flush(mClock.Now())); }

  void Pause(std::size_t aIndex) { At(aIndex).mPaused = true; }

  void Resume(std::size_t aIndex)
  {
    auto& node = At(aIndex);
    node.mPaused = false;
    auto deferred = std::move(node.mDeferred);
    node.mDeferred.clear();
    for (const auto& it : deferred) {
      it();
    }
  }

  /** Ends an incarnation and starts the next one; peers detect it after @p aDetectionDelay. */
  void Kill(std::size_t aIndex, Milliseconds aDetectionDelay)
  {
    auto& node = At(aIndex);
    const auto killedIncarnation = node.mIncarnation;
    StartIncarnation(node);
    Schedule(mClock.Now() + aDetectionDelay, [this, killedIncarnation, aIndex] {
      for (auto& it : mNodes) {
        Deliver(*it, it->mIncarnationNumber, [this, killedIncarnation, aIndex, index = it->mIndex] {
          HandleOutput(
            index,
            At(index).mUsage->OnIncarnationEnded(killedIncarnation, NameOf(aIndex), mClock.Now()));
        });
      }
    });
  }

  /** Sets the members that one instance knows. Different views give a shard two owners. */
  void SetMembers(std::size_t aIndex, std::vector<InstanceId> aMembers)
  {
    At(aIndex).mRegisters->SetMembers(std::move(aMembers));
  }

  /** Sets the peers that one instance may choose as backups of its usage records. */
  void SetPeers(std::size_t aIndex, const std::vector<BackupCandidate>& aPeers)
  {
    HandleOutput(aIndex, At(aIndex).mUsage->SetPeers(aPeers, mClock.Now()));
  }

  /** Advances the clock in steps of 1 ms and delivers what is due. */
  void Run(Milliseconds aTime)
  {
    for (auto n = Milliseconds(0); n < aTime; n += Milliseconds(1)) {
      mClock.Advance(Milliseconds(1));
      for (auto& it : mAsync.Advance(mClock.Now())) {
        auto& node = At(it.mInstance % kIncarnationStride);
        Deliver(node, it.mInstance / kIncarnationStride / 2, [this, it] { HandleReply(it); });
      }
      while (!mEvents.empty() && mEvents.begin()->first <= mClock.Now()) {
        const auto event = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        event();
      }
      Tick();
    }
  }

  static InstanceId NameOf(std::size_t aIndex)
  {
    return InstanceId("instance-" + std::to_string(aIndex));
  }

  std::size_t IndexOf(const InstanceId& aId) const
  {
    for (const auto& it : mNodes) {
      if (NameOf(it->mIndex) == aId) {
        return it->mIndex;
      }
    }
    return 0;
  }

  FakeObjectStore mStore;
  ManualClock mClock;
  DelayedObjectStore mAsync;
  std::uint32_t mPeerLossPermille = 0;
  RegisterOptions mRegisterOptions = SmallRegisters();

private:
  /** Instance numbers in DelayedObjectStore are the index plus this times twice the incarnation
     number, plus one for calls of the usage ledger. */
  static constexpr std::size_t kIncarnationStride = 100;

  static RegisterOptions SmallRegisters()
  {
    RegisterOptions options;
    options.mShards = 4;
    options.mSegmentRegisters = 4;
    options.mCallTimeout = Milliseconds(50);
    options.mOperationTimeout = Milliseconds(400);
    options.mInitialBackoff = Milliseconds(5);
    options.mMaxBackoff = Milliseconds(40);
    return options;
  }

  void StartIncarnation(Node& aNode)
  {
    ++aNode.mIncarnationNumber;
    aNode.mDeferred.clear();
    aNode.mPaused = false;
    const auto name = NameOf(aNode.mIndex);
    aNode.mIncarnation =
      IncarnationId(name.Value() + "." + std::to_string(aNode.mIncarnationNumber));
    RegisterService::Options service;
    service.mSelf = name;
    service.mShards = mRegisterOptions.mShards;
    service.mForwardTimeout = Milliseconds(30);
    aNode.mRegisters = std::make_unique<RegisterService>(
      service, WriteOnceRegisters(ShardedRegisters(mRegisterOptions)));
    ClaimManager::Options claims;
    claims.mSelf = aNode.mIncarnation;
    claims.mInitialBackoff = Milliseconds(10);
    aNode.mClaims = std::make_unique<ClaimManager>(claims);
    UsageLedger::Options usage;
    usage.mSelf = name;
    usage.mIncarnation = aNode.mIncarnation;
    usage.mZone = ZoneOf(aNode.mIndex);
    usage.mMaxBatchRecords = 8;
    usage.mMaxBatchAge = Milliseconds(100);
    usage.mBackupTimeout = Milliseconds(30);
    usage.mMaxHoldTime = std::chrono::seconds(2);
    usage.mWriter.mCallTimeout = Milliseconds(50);
    aNode.mUsage = std::make_unique<UsageLedger>(usage);
    const auto index = aNode.mIndex;
    std::vector<InstanceId> members;
    std::vector<BackupCandidate> peers;
    for (std::size_t n = 0; n < kMembers; ++n) {
      members.push_back(NameOf(n));
      if (n != index) {
        peers.push_back({ NameOf(n), ZoneOf(n) });
      }
    }
    aNode.mRegisters->SetMembers(members);
    HandleOutput(index, aNode.mUsage->SetPeers(peers, mClock.Now()));
  }

  static ZoneName ZoneOf(std::size_t aIndex)
  {
    return ZoneName("zone-" + std::to_string(aIndex % 3));
  }

  void Schedule(TimePoint aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  /** Runs @p aEvent at the node, or when it resumes if it is paused. Drops the event if the node
      has another incarnation by now. */
  void Deliver(Node& aNode, std::size_t aIncarnationNumber, std::function<void()> aEvent)
  {
    if (aNode.mIncarnationNumber != aIncarnationNumber) {
      return;
    }
    if (aNode.mPaused) {
      aNode.mDeferred.push_back(std::move(aEvent));
    } else {
      aEvent();
    }
  }

  std::chrono::microseconds Latency() { return std::chrono::microseconds(200 + Draw(2000)); }

  /** Sends a request to a peer and calls @p aReply at most once, with nothing after @p aTimeout.
      The request or its reply may be lost. */
  void CallPeer(std::size_t aFrom,
                std::size_t aTo,
                Milliseconds aTimeout,
                std::function<void(std::function<void(std::string)>)> aServe,
                std::function<void(std::optional<std::string>)> aReply)
  {
    const auto fromIncarnation = At(aFrom).mIncarnationNumber;
    const auto toIncarnation = At(aTo).mIncarnationNumber;
    const auto done = std::make_shared<bool>(false);
    const auto answer =
      [this, aFrom, fromIncarnation, done, aReply](std::optional<std::string> aResult) {
        Deliver(At(aFrom), fromIncarnation, [done, aReply, aResult] {
          if (!std::exchange(*done, true)) {
            aReply(aResult);
          }
        });
      };
    Schedule(mClock.Now() + aTimeout, [answer] { answer(std::nullopt); });
    if (Draw(999) < mPeerLossPermille) {
      return;
    }
    const bool replyLost = Draw(999) < mPeerLossPermille;
    Schedule(mClock.Now() + Latency(), [this, aTo, toIncarnation, aServe, answer, replyLost] {
      Deliver(At(aTo), toIncarnation, [this, aServe, answer, replyLost] {
        aServe([this, answer, replyLost](std::string aResult) {
          if (!replyLost) {
            Schedule(mClock.Now() + Latency(), [answer, aResult] { answer(aResult); });
          }
        });
      });
    });
  }

  void HandleReply(const DelayedObjectStore::Delivery& aDelivery)
  {
    const auto index = aDelivery.mInstance % kIncarnationStride;
    if ((aDelivery.mInstance / kIncarnationStride) % 2 == 0) {
      HandleOutput(index, At(index).mRegisters->OnReply(aDelivery.mReply, mClock.Now()));
    } else {
      HandleOutput(index, At(index).mUsage->OnReply(aDelivery.mReply, mClock.Now()));
    }
  }

  void Send(std::size_t aIndex, bool aUsage, const std::vector<ObjectCall>& aCalls)
  {
    const auto tag =
      aIndex + kIncarnationStride * (2 * At(aIndex).mIncarnationNumber + (aUsage ? 1 : 0));
    for (const auto& it : aCalls) {
      mAsync.Send(tag, it, mClock.Now());
    }
  }

  void HandleOutput(std::size_t aIndex, RegisterServiceOutput aOutput)
  {
    Send(aIndex, false, aOutput.mCalls);
    for (const auto& it : aOutput.mForwards) {
      const auto to = IndexOf(it.mTo);
      CallPeer(
        aIndex,
        to,
        it.mTimeout,
        [this, to, params = it.mParams](std::function<void(std::string)> aAnswer) {
          const auto id = mNextServeId++;
          mServeReplies[id] = std::move(aAnswer);
          HandleOutput(to, At(to).mRegisters->Serve(id, params, mClock.Now()));
        },
        [this, aIndex, id = it.mId](std::optional<std::string> aResult) {
          HandleOutput(
            aIndex,
            At(aIndex).mRegisters->OnForwardReply(id, Verdict::MayHaveRun, aResult, mClock.Now()));
        });
    }
    for (const auto& it : aOutput.mAnswers) {
      const auto sendReply = std::move(mServeReplies.at(it.mId));
      mServeReplies.erase(it.mId);
      sendReply(it.mResult);
    }
    for (const auto& it : aOutput.mOutcomes) {
      HandleOutput(aIndex, At(aIndex).mClaims->OnRegister(it, mClock.Now(), mClock.WallNow()));
    }
  }

  void HandleOutput(std::size_t aIndex, ClaimOutput aOutput)
  {
    for (const auto& it : aOutput.mStatusQueries) {
      QueryClaimant(aIndex, it);
    }
    for (const auto& it : aOutput.mAnswers) {
      if (mOnAnswer) {
        mOnAnswer(aIndex, it);
      }
    }
    for (const auto& it : aOutput.mRegisters) {
      HandleOutput(aIndex, At(aIndex).mRegisters->Submit(it, mClock.Now()));
    }
  }

  void QueryClaimant(std::size_t aIndex, const ClaimStatusQuery& aQuestion)
  {
    const auto reply = [this, aIndex, id = aQuestion.mId](std::optional<std::string> aResult) {
      const auto report = aResult ? DecodeClaimStatusReply(*aResult) : std::nullopt;
      HandleOutput(aIndex,
                   At(aIndex).mClaims->OnStatusReply(id, report, mClock.Now(), mClock.WallNow()));
    };
    for (const auto& it : mNodes) {
      if (it->mIncarnation != aQuestion.mHolder) {
        continue;
      }
      const auto params = EncodeClaimStatusQuery(aQuestion);
      CallPeer(
        aIndex,
        it->mIndex,
        Milliseconds(30),
        [this, to = it->mIndex, params](const std::function<void(std::string)>& aAnswer) {
          const auto query = DecodeClaimStatusQuery(params);
          aAnswer(EncodeClaimStatusReply(At(to).mClaims->ClaimStatusOf(query->mClaimant)));
        },
        reply);
      return;
    }
    const auto incarnation = At(aIndex).mIncarnationNumber;
    Schedule(mClock.Now() + Latency(), [this, aIndex, incarnation, reply] {
      Deliver(At(aIndex), incarnation, [reply] { reply(std::nullopt); });
    });
  }

  void HandleOutput(std::size_t aIndex, UsageOutput aOutput)
  {
    Send(aIndex, true, aOutput.mCalls);
    for (const auto& it : aOutput.mMessages) {
      const auto to = IndexOf(it.mTo);
      const bool backup = it.mKind == UsageMessageKind::Backup;
      CallPeer(
        aIndex,
        to,
        it.mTimeout,
        [this, to, backup, params = it.mParams](const std::function<void(std::string)>& aAnswer) {
          if (!backup) {
            At(to).mUsage->OnDrop(params);
            aAnswer("dropped");
            return;
          }
          aAnswer(At(to).mUsage->OnBackup(params, mClock.Now()) ? "held" : "refused");
        },
        [this, aIndex, backup, id = it.mId](std::optional<std::string> aResult) {
          if (backup) {
            HandleOutput(aIndex,
                         At(aIndex).mUsage->OnBackupReply(id, aResult == "held", mClock.Now()));
          }
        });
    }
    for (const auto& it : aOutput.mReleasedRequests) {
      if (mOnSafe) {
        mOnSafe(aIndex, it);
      }
    }
  }

  void Tick()
  {
    for (auto& it : mNodes) {
      if (it->mPaused) {
        continue;
      }
      HandleOutput(it->mIndex, it->mRegisters->Tick(mClock.Now(), mClock.WallNow()));
      HandleOutput(it->mIndex, it->mClaims->Tick(mClock.Now(), mClock.WallNow()));
      HandleOutput(it->mIndex, it->mUsage->Tick(mClock.Now()));
    }
  }

  static constexpr std::size_t kMembers = 4;

  boost::random::mt19937 mRandom;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::uint64_t mNextServeId = 1;
  std::map<std::uint64_t, std::function<void(std::string)>> mServeReplies;
};

} // namespace skylarkchute
