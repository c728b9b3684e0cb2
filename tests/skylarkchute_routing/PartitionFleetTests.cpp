#include "FleetFixture.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <queue>
#include <random>

using namespace skylarkchute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Bounds of the deployments: from kStableTime after a partition began, first tries at partitioned
    instances are served at least kServedFactor as often as at the others, or at most kFailedSlack +
    kFailedShare of them fail. */
constexpr seconds kStableTime{ 3 };
constexpr double kServedFactor = 2.0 / 3;
constexpr double kFailedSlack = 10;
constexpr double kFailedShare = 0.02;

constexpr int kEndpoints = 9;
constexpr seconds kTimeBefore{ 4 };
constexpr seconds kPartition{ 8 };
constexpr milliseconds kStep{ 10 };
constexpr milliseconds kAnswerTime{ 20 };
constexpr milliseconds kConnectTimeout{ 250 };
constexpr milliseconds kDeadline{ 1000 };
constexpr milliseconds kExchangeInterval{ 400 };
constexpr milliseconds kTickInterval{ 200 };

/** Requests per second at one instance, as on the deployments' sheets. */
constexpr double kLoadPerInstance = 10;

/** How connections to the endpoints fail at a partitioned instance. */
enum class Cut
{
  Refused,
  Hangs,
};

/** Counts of the first tries at one group of instances. */
struct Tries
{
  int mSent = 0;
  int mServed = 0;

  double ServedShare() const { return mSent == 0 ? 1 : 1.0 * mServed / mSent; }
};

/** Instances before the same endpoints; some of them are partitioned from all of these. */
class PartitionedFleet
{
public:
  PartitionedFleet(std::size_t aInstances, Cut aCut, std::uint32_t aSeed)
    : mCut(aCut)
    , mRandom(aSeed)
  {
    for (std::size_t n = 0; n < aInstances; ++n) {
      mNodes.push_back(std::make_unique<Node>());
      mNodes.back()->mFleet.AddEndpoints("e", kEndpoints);
    }
  }

  void Partition(std::size_t aCount)
  {
    mCutAt = mNow;
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      mNodes[n]->mIsCut = n < aCount;
    }
  }

  /** Lets time pass with the load. */
  void Run(milliseconds aTime)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      while (!mEvents.empty() && mEvents.top().mAt <= mNow) {
        const auto run = mEvents.top().mRun;
        mEvents.pop();
        run();
      }
      const auto due = 1.0 * mNodes.size() * kStep.count() / 1000.0;
      for (mLoadDue += kLoadPerInstance * due; mLoadDue >= 1; mLoadDue -= 1) {
        Arrive(mRandom() % mNodes.size());
      }
      for (mExchangesDue += 1000.0 / kExchangeInterval.count() * due; mExchangesDue >= 1;
           mExchangesDue -= 1) {
        Exchange(mRandom() % mNodes.size(), mRandom() % mNodes.size());
      }
      if ((mNow - TimePoint{}) % kTickInterval == milliseconds(0)) {
        for (auto& it : mNodes) {
          it->mFleet.mRouter.Tick(mNow);
        }
      }
    }
  }

  Tries mAtCut;    /**< From kStableTime after the partition began. */
  Tries mAtOthers; /**< From kStableTime after the partition began. */
  int mRejectedForwards = 0;
  std::size_t PartitionedInstances() const
  {
    return static_cast<std::size_t>(std::count_if(mNodes.begin(), mNodes.end(), [](const auto& it) {
      return it->mFleet.mRouter.Forwarding().IsPartitioned();
    }));
  }

private:
  struct Node
  {
    FleetFixture mFleet;
    bool mIsCut = false;
  };

  struct Event
  {
    TimePoint mAt;
    std::uint64_t mNumber;
    std::function<void()> mRun;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mNumber) < std::tie(mAt, mNumber);
    }
  };

  /** A request at one instance; calls mOnEnd with whether an endpoint answered. */
  struct Request
  {
    std::size_t mNode = 0;
    RequestPlan mPlan;
    std::function<void(bool)> mOnEnd;
  };

  using RequestPtr = std::shared_ptr<Request>;

  void After(milliseconds aTime, std::function<void()> aRun)
  {
    mEvents.push({ mNow + aTime, ++mNumber, std::move(aRun) });
  }

  static std::string Name(std::size_t aNode) { return "i" + std::to_string(aNode); }

  void Exchange(std::size_t aCaller, std::size_t aCallee)
  {
    if (aCaller == aCallee) {
      return;
    }
    auto& caller = mNodes[aCaller]->mFleet.mRouter.Forwarding();
    auto& callee = mNodes[aCallee]->mFleet.mRouter.Forwarding();
    caller.OnPeer(Name(aCallee), std::to_string(aCallee), callee.IsPartitioned());
    callee.OnPeer(Name(aCaller), std::to_string(aCaller), caller.IsPartitioned());
  }

  void Arrive(std::size_t aNode)
  {
    const bool counts =
      mCutAt && mNow >= *mCutAt + kStableTime && mNow < *mCutAt + kPartition - kDeadline;
    auto& tries = mNodes[aNode]->mIsCut ? mAtCut : mAtOthers;
    tries.mSent += counts ? 1 : 0;
    const auto end = mNow + kDeadline;
    Start(aNode, false, [this, &tries, counts, end](bool aIsAnswered) {
      tries.mServed += counts && aIsAnswered && mNow <= end ? 1 : 0;
    });
  }

  void Start(std::size_t aNode, bool aIsForwarded, std::function<void(bool)> aOnEnd)
  {
    RelayRequest request;
    request.mHost = "site";
    request.mPath = mRandom() % 3 == 0 ? "/check/1" : "/order/1";
    request.mDeadline = kDeadline;
    request.mIsForwarded = aIsForwarded;
    const auto admitted = mNodes[aNode]->mFleet.mRouter.Admit(request, mNow);
    Try(std::make_shared<Request>(
      Request{ aNode, std::get<RequestPlan>(admitted), std::move(aOnEnd) }));
  }

  void Try(const RequestPtr& aRequest)
  {
    auto& node = *mNodes[aRequest->mNode];
    const auto decision = node.mFleet.mRouter.NextAttempt(aRequest->mPlan, false, mNow);
    const auto* attempt = std::get_if<AttemptPlan>(&decision);
    if (attempt == nullptr) {
      aRequest->mOnEnd(false);
    } else if (attempt->IsForwarded()) {
      Forward(aRequest, *attempt);
    } else if (node.mIsCut) {
      After(mCut == Cut::Hangs ? kConnectTimeout : milliseconds(1),
            [this, aRequest, it = *attempt] { End(aRequest, it, RelayOutcome::Unreachable); });
    } else {
      node.mFleet.mRouter.OnSent(aRequest->mPlan, *attempt, mNow);
      After(kAnswerTime, [this, aRequest, it = *attempt] {
        mNodes[aRequest->mNode]->mFleet.mRouter.OnFirstByte(aRequest->mPlan, it, kAnswerTime, mNow);
        End(aRequest, it, RelayOutcome::Answered);
      });
    }
  }

  void Forward(const RequestPtr& aRequest, const AttemptPlan& aAttempt)
  {
    mNodes[aRequest->mNode]->mFleet.mRouter.OnSent(aRequest->mPlan, aAttempt, mNow);
    After(milliseconds(1), [this, aRequest, it = aAttempt] {
      Start(std::stoul(it.mAddress), true, [this, aRequest, it](bool aIsAnswered) {
        mRejectedForwards += aIsAnswered ? 0 : 1;
        End(aRequest, it, aIsAnswered ? RelayOutcome::Answered : RelayOutcome::NotRun);
      });
    });
  }

  void End(const RequestPtr& aRequest, const AttemptPlan& aAttempt, RelayOutcome aOutcome)
  {
    mNodes[aRequest->mNode]->mFleet.mRouter.OnEnded(aRequest->mPlan, aAttempt, aOutcome, mNow);
    if (aOutcome == RelayOutcome::Answered) {
      aRequest->mOnEnd(true);
      return;
    }
    Try(aRequest);
  }

  Cut mCut;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::priority_queue<Event> mEvents;
  std::optional<TimePoint> mCutAt;
  TimePoint mNow{ std::chrono::hours(1) };
  double mLoadDue = 0;
  double mExchangesDue = 0;
  std::uint64_t mNumber = 0;
  std::mt19937 mRandom;
};

} // namespace

TEST_CASE("fleet: callers of partitioned instances are served like those of the others")
{
  const auto size = GENERATE(std::size_t{ 9 }, std::size_t{ 71 }, std::size_t{ 295 });
  const auto cut = GENERATE(Cut::Refused, Cut::Hangs);
  const auto part = GENERATE(0.0, 0.34, 0.67, 0.85);
  const auto seed = GENERATE(1U, 2U);
  const auto count = std::max<std::size_t>(1, static_cast<std::size_t>(part * size));
  PartitionedFleet fleet(size, cut, seed);
  fleet.Run(kTimeBefore);
  fleet.Partition(count);
  fleet.Run(kPartition);
  const auto& atCut = fleet.mAtCut;
  const auto all = atCut.mSent + fleet.mAtOthers.mSent;
  INFO(count << " of " << size << " partitioned, connections "
             << (cut == Cut::Hangs ? "hang" : "are refused") << "; served there " << atCut.mServed
             << " of " << atCut.mSent << ", at the others " << fleet.mAtOthers.mServed << " of "
             << fleet.mAtOthers.mSent << "; rejected by another instance "
             << fleet.mRejectedForwards);
  const bool isServedAlike = atCut.ServedShare() >= kServedFactor * fleet.mAtOthers.ServedShare() ||
                             atCut.mSent - atCut.mServed <= kFailedSlack + kFailedShare * all;
  CHECK(isServedAlike);
  CHECK(fleet.mAtOthers.ServedShare() > 0.99);
  CHECK(fleet.PartitionedInstances() == count);
  fleet.Partition(0);
  fleet.Run(seconds(2));
  CHECK(fleet.PartitionedInstances() == 0);
}
