#pragma once

#include "support/AsyncStore.h"

#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <functional>
#include <memory>
#include <set>

namespace skylarkchute {

/** Several instances with claims and usage over one store, joined by a network with latency.

    An instance that is paused receives nothing until it resumes; one that is killed is replaced by
    a new incarnation, and messages to the old one fail. */
class LedgerFleet
{
public:
  using Milliseconds = std::chrono::milliseconds;

  /** One instance. */
  struct Node
  {
    std::size_t mIndex = 0;
    std::size_t mLife = 0;
    IncarnationId mIncarnation;
    std::unique_ptr<RegisterService> mRegisters;
    std::unique_ptr<ClaimDesk> mClaims;
    std::unique_ptr<UsageLedger> mUsage;
    bool mPaused = false;
    std::vector<std::function<void()>> mHeld;
  };

  LedgerFleet(std::uint32_t aSeed, AsyncStore::Options aFaults)
    : mAsync(mStore, aFaults, aSeed)
    , mRandom(aSeed + 17)
  {
    for (std::size_t n = 0; n < kMembers; ++n) {
      mNodes.push_back(std::make_unique<Node>());
      mNodes.back()->mIndex = n;
      Renew(*mNodes.back());
    }
    Tick();
  }

  /** Called with each answer of a claim desk. */
  std::function<void(std::size_t, const ClaimAnswer&)> mOnAnswer;
  /** Called with each request that an instance reports safe. */
  std::function<void(std::size_t, const RequestId&)> mOnSafe;

  Node& At(std::size_t aIndex) { return *mNodes[aIndex]; }

  std::size_t Size() const { return mNodes.size(); }

  std::uint32_t Draw(std::uint32_t aHigh)
  {
    return boost::random::uniform_int_distribution<std::uint32_t>(0, aHigh)(mRandom);
  }

  void Claim(std::size_t aIndex, const ClaimRequest& aRequest)
  {
    Take(aIndex, At(aIndex).mClaims->Claim(aRequest, mClock.Now(), mClock.WallNow()));
  }

  void Finish(std::size_t aIndex, const RequestId& aRequest, const ClaimOutcome& aOutcome)
  {
    Take(aIndex, At(aIndex).mClaims->Finish(aRequest, aOutcome, mClock.Now()));
  }

  void Abandon(std::size_t aIndex, const RequestId& aRequest)
  {
    Take(aIndex, At(aIndex).mClaims->Abandon(aRequest, mClock.Now()));
  }

  void Record(std::size_t aIndex, const UsageRecord& aRecord)
  {
    Take(aIndex, At(aIndex).mUsage->Record(aRecord, mClock.Now()));
  }

  void Flush(std::size_t aIndex) { Take(aIndex, At(aIndex).mUsage->Flush(mClock.Now())); }

  void Pause(std::size_t aIndex) { At(aIndex).mPaused = true; }

  void Resume(std::size_t aIndex)
  {
    auto& node = At(aIndex);
    node.mPaused = false;
    auto held = std::move(node.mHeld);
    node.mHeld.clear();
    for (const auto& it : held) {
      it();
    }
  }

  /** Ends an incarnation; peers learn it after @p aNoticed. */
  void Kill(std::size_t aIndex, Milliseconds aNoticed)
  {
    auto& node = At(aIndex);
    const auto gone = node.mIncarnation;
    Renew(node);
    Later(mClock.Now() + aNoticed, [this, gone, aIndex] {
      for (auto& it : mNodes) {
        Deliver(*it, it->mLife, [this, gone, aIndex, index = it->mIndex] {
          Take(index, At(index).mUsage->IncarnationGone(gone, NameOf(aIndex), mClock.Now()));
        });
      }
    });
  }

  /** Gives every instance its own view of the members; used for two owners of one shard. */
  void SetMembers(std::size_t aIndex, std::vector<InstanceId> aMembers)
  {
    At(aIndex).mRegisters->SetMembers(std::move(aMembers));
  }

  /** Gives an instance another view of the peers that may hold its usage records. */
  void SetPeers(std::size_t aIndex, const std::vector<BackupCandidate>& aPeers)
  {
    Take(aIndex, At(aIndex).mUsage->SetPeers(aPeers, mClock.Now()));
  }

  void Run(Milliseconds aTime)
  {
    for (auto n = Milliseconds(0); n < aTime; n += Milliseconds(1)) {
      mClock.Advance(Milliseconds(1));
      for (auto& it : mAsync.Advance(mClock.Now())) {
        auto& node = At(it.mInstance % kStride);
        Deliver(node, it.mInstance / kStride / 2, [this, it] { TakeReply(it); });
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
  AsyncStore mAsync;
  std::uint32_t mPeerLossPermille = 0;
  RegisterOptions mRegisterOptions = SmallRegisters();

private:
  static constexpr std::size_t kStride = 100;

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

  void Renew(Node& aNode)
  {
    ++aNode.mLife;
    aNode.mHeld.clear();
    aNode.mPaused = false;
    const auto name = NameOf(aNode.mIndex);
    aNode.mIncarnation = IncarnationId(name.Value() + "." + std::to_string(aNode.mLife));
    RegisterService::Options service;
    service.mSelf = name;
    service.mShards = mRegisterOptions.mShards;
    service.mForwardTimeout = Milliseconds(30);
    aNode.mRegisters = std::make_unique<RegisterService>(
      service, WriteOnceRegisters(ShardedRegisters(mRegisterOptions)));
    ClaimDesk::Options claims;
    claims.mSelf = aNode.mIncarnation;
    claims.mInitialBackoff = Milliseconds(10);
    aNode.mClaims = std::make_unique<ClaimDesk>(claims);
    UsageLedger::Options usage;
    usage.mSelf = name;
    usage.mIncarnation = aNode.mIncarnation;
    usage.mZone = ZoneOf(aNode.mIndex);
    usage.mMostBatchRecords = 8;
    usage.mMostBatchAge = Milliseconds(100);
    usage.mBackupTimeout = Milliseconds(30);
    usage.mLongestHold = std::chrono::seconds(2);
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
    Take(index, aNode.mUsage->SetPeers(peers, mClock.Now()));
  }

  static ZoneName ZoneOf(std::size_t aIndex)
  {
    return ZoneName("zone-" + std::to_string(aIndex % 3));
  }

  void Later(TimePoint aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  /** Runs @p aEvent at the node, later when it is paused, never in another life. */
  void Deliver(Node& aNode, std::size_t aLife, std::function<void()> aEvent)
  {
    if (aNode.mLife != aLife) {
      return;
    }
    if (aNode.mPaused) {
      aNode.mHeld.push_back(std::move(aEvent));
    } else {
      aEvent();
    }
  }

  std::chrono::microseconds Latency() { return std::chrono::microseconds(200 + Draw(2000)); }

  /** Sends a request to a peer, whose reply may be lost. */
  void CallPeer(std::size_t aFrom,
                std::size_t aTo,
                Milliseconds aTimeout,
                std::function<void(std::function<void(std::string)>)> aServe,
                std::function<void(std::optional<std::string>)> aReply)
  {
    const auto fromLife = At(aFrom).mLife;
    const auto toLife = At(aTo).mLife;
    const auto done = std::make_shared<bool>(false);
    const auto answer = [this, aFrom, fromLife, done, aReply](std::optional<std::string> aResult) {
      Deliver(At(aFrom), fromLife, [done, aReply, aResult] {
        if (!std::exchange(*done, true)) {
          aReply(aResult);
        }
      });
    };
    Later(mClock.Now() + aTimeout, [answer] { answer(std::nullopt); });
    if (Draw(999) < mPeerLossPermille) {
      return;
    }
    const bool replyLost = Draw(999) < mPeerLossPermille;
    Later(mClock.Now() + Latency(), [this, aTo, toLife, aServe, answer, replyLost] {
      Deliver(At(aTo), toLife, [this, aServe, answer, replyLost] {
        aServe([this, answer, replyLost](std::string aResult) {
          if (!replyLost) {
            Later(mClock.Now() + Latency(), [answer, aResult] { answer(aResult); });
          }
        });
      });
    });
  }

  void TakeReply(const AsyncStore::Delivery& aDelivery)
  {
    const auto index = aDelivery.mInstance % kStride;
    if ((aDelivery.mInstance / kStride) % 2 == 0) {
      Take(index, At(index).mRegisters->OnReply(aDelivery.mReply, mClock.Now()));
    } else {
      Take(index, At(index).mUsage->OnReply(aDelivery.mReply, mClock.Now()));
    }
  }

  void Send(std::size_t aIndex, bool aUsage, const std::vector<ObjectCall>& aCalls)
  {
    const auto tag = aIndex + kStride * (2 * At(aIndex).mLife + (aUsage ? 1 : 0));
    for (const auto& it : aCalls) {
      mAsync.Send(tag, it, mClock.Now());
    }
  }

  void Take(std::size_t aIndex, RegisterServiceOutput aOutput)
  {
    Send(aIndex, false, aOutput.mCalls);
    for (const auto& it : aOutput.mForwards) {
      const auto to = IndexOf(it.mTo);
      CallPeer(
        aIndex,
        to,
        it.mTimeout,
        [this, to, params = it.mParams](std::function<void(std::string)> aAnswer) {
          const auto id = mNextServed++;
          mServed[id] = std::move(aAnswer);
          Take(to, At(to).mRegisters->Serve(id, params, mClock.Now()));
        },
        [this, aIndex, id = it.mId](std::optional<std::string> aResult) {
          Take(
            aIndex,
            At(aIndex).mRegisters->OnForwardReply(id, Verdict::MayHaveRun, aResult, mClock.Now()));
        });
    }
    for (const auto& it : aOutput.mAnswers) {
      const auto served = std::move(mServed.at(it.mId));
      mServed.erase(it.mId);
      served(it.mResult);
    }
    for (const auto& it : aOutput.mOutcomes) {
      Take(aIndex, At(aIndex).mClaims->OnRegister(it, mClock.Now(), mClock.WallNow()));
    }
  }

  void Take(std::size_t aIndex, ClaimOutput aOutput)
  {
    for (const auto& it : aOutput.mQuestions) {
      AskHolder(aIndex, it);
    }
    for (const auto& it : aOutput.mAnswers) {
      if (mOnAnswer) {
        mOnAnswer(aIndex, it);
      }
    }
    for (const auto& it : aOutput.mRegisters) {
      Take(aIndex, At(aIndex).mRegisters->Submit(it, mClock.Now()));
    }
  }

  void AskHolder(std::size_t aIndex, const ClaimQuestion& aQuestion)
  {
    const auto reply = [this, aIndex, id = aQuestion.mId](std::optional<std::string> aResult) {
      const auto report = aResult ? DecodeClaimReport(*aResult) : std::nullopt;
      Take(aIndex, At(aIndex).mClaims->OnReport(id, report, mClock.Now(), mClock.WallNow()));
    };
    for (const auto& it : mNodes) {
      if (it->mIncarnation != aQuestion.mHolder) {
        continue;
      }
      const auto params = EncodeClaimQuestion(aQuestion);
      CallPeer(
        aIndex,
        it->mIndex,
        Milliseconds(30),
        [this, to = it->mIndex, params](const std::function<void(std::string)>& aAnswer) {
          const auto question = DecodeClaimQuestion(params);
          aAnswer(EncodeClaimReport(At(to).mClaims->Report(question->mClaimant)));
        },
        reply);
      return;
    }
    const auto life = At(aIndex).mLife;
    Later(mClock.Now() + Latency(), [this, aIndex, life, reply] {
      Deliver(At(aIndex), life, [reply] { reply(std::nullopt); });
    });
  }

  void Take(std::size_t aIndex, UsageOutput aOutput)
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
            Take(aIndex, At(aIndex).mUsage->OnBackupReply(id, aResult == "held", mClock.Now()));
          }
        });
    }
    for (const auto& it : aOutput.mSafe) {
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
      Take(it->mIndex, it->mRegisters->Tick(mClock.Now(), mClock.WallNow()));
      Take(it->mIndex, it->mClaims->Tick(mClock.Now(), mClock.WallNow()));
      Take(it->mIndex, it->mUsage->Tick(mClock.Now()));
    }
  }

  static constexpr std::size_t kMembers = 4;

  boost::random::mt19937 mRandom;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::uint64_t mNextServed = 1;
  std::map<std::uint64_t, std::function<void(std::string)>> mServed;
};

} // namespace skylarkchute
