#include "NodeFleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <optional>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

constexpr int kNodeCount = 3;
constexpr int kStepCount = 60;
constexpr std::chrono::seconds kMaxWithdrawalDelay{ 5 };
constexpr std::chrono::hours kClockStart{ 1 }; // Initial time of a ManualClock.

/** Injects faults and requests, drawn at random from a seed, and checks the invariants of nodes. */
class RandomSchedule
{
public:
  explicit RandomSchedule(std::uint64_t aSeed)
    : mSeed(aSeed)
    , mFleet(aSeed, kNodeCount)
    , mRandom(aSeed)
  {
  }

  /** Runs all steps, ends the faults, waits until the nodes have recovered and checks the final
      state. */
  void Run()
  {
    for (int n = 0; n < kStepCount; ++n) {
      InjectFault();
      SendRequests();
      mFleet.Run(std::chrono::milliseconds(RandomInt(20, 400)));
      CheckInvariants();
    }
    EndFaults();
    mFleet.Run(70s);
    CheckInvariants();
    CheckFinalState();
  }

private:
  int RandomInt(int aMin, int aMax)
  {
    return boost::random::uniform_int_distribution<int>(aMin, aMax)(mRandom);
  }

  int RandomLiveNode()
  {
    for (;;) {
      const auto node = RandomInt(0, kNodeCount - 1);
      if (mFleet.IsAlive(node)) {
        return node;
      }
    }
  }

  void InjectFault()
  {
    switch (RandomInt(0, 15)) {
      case 0:
        AddTrace("outage begins");
        mFleet.Store().SetOutage(true);
        mLastOutageTime = mFleet.Now();
        break;
      case 1:
      case 2:
        mLastOutageTime = mFleet.Store().IsInOutage() ? mFleet.Now() : mLastOutageTime;
        AddTrace("outage ends");
        mFleet.Store().SetOutage(false);
        break;
      case 3:
        mFleet.Store().FailOnce(static_cast<std::uint64_t>(RandomInt(0, 5)),
                                StoreFault::LostAfterEffect);
        break;
      case 4:
        PauseRandomNode();
        break;
      case 5:
      case 6:
        ResumeAll();
        break;
      case 7:
        if (mKillCount == 0 && mFleet.IsAlive(kNodeCount - 1)) {
          AddTrace("kill of node " + std::to_string(kNodeCount - 1));
          mFleet.Kill(kNodeCount - 1);
          ++mKillCount;
        }
        break;
      case 8:
        mFleet.BreakNextAttempts(1);
        break;
      case 9:
        mFleet.RefuseNextConnections(2);
        break;
      case 10:
        Withdraw();
        break;
      default:
        break;
    }
  }

  void PauseRandomNode()
  {
    const auto node = RandomLiveNode();
    AddTrace("pause of node " + std::to_string(node));
    mFleet.Pause(node);
  }

  /** Adds a line to the trace, which a failed check of the final state prints. */
  void AddTrace(const std::string& aWhat)
  {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      mFleet.Now().time_since_epoch() - kClockStart);
    mTrace += std::to_string(at.count()) + " ms: " + aWhat + "\n";
  }

  void Withdraw()
  {
    if (mWithdrawnAt || mFleet.Store().IsInOutage()) {
      return;
    }
    mFleet.PutBundle(NodeBundle("withdrawn"), 2);
    mWithdrawnAt = mFleet.Now();
  }

  void ResumeAll()
  {
    AddTrace("all resume");
    for (int n = 0; n < kNodeCount; ++n) {
      if (mFleet.IsPaused(n) && mFleet.IsAlive(n)) {
        mFleet.Resume(n);
      }
    }
  }

  void EndFaults()
  {
    mFleet.Store().SetOutage(false);
    mFleet.BreakNextAttempts(0);
    mFleet.RefuseNextConnections(0);
    ResumeAll();
  }

  void SendRequests()
  {
    mFleet.SendChat(RandomLiveNode());
    mFleet.SendChat(RandomLiveNode(), "session-" + std::to_string(RandomInt(0, 4)));
    const auto key = "order-" + std::to_string(RandomInt(0, 20));
    mFleet.SendOrder(RandomLiveNode(), key);
    mFleet.SendOrder(RandomLiveNode(), key);
  }

  void CheckInvariants()
  {
    INFO("seed " << mSeed);
    std::map<std::string, int> ordersRun;
    std::map<std::string, std::set<std::string>> sessionVersions;
    for (const auto& it : mFleet.Runs()) {
      if (it.mKey.rfind("order-", 0) == 0) {
        ++ordersRun[it.mKey];
      }
      if (!it.mSession.empty()) {
        sessionVersions[it.mSession].insert(it.mVersion);
      }
      if (it.mVersion == "note/2" && mWithdrawnAt) {
        const bool storeWasUp = mLastOutageTime < *mWithdrawnAt || !mLastOutageTime;
        CHECK((!storeWasUp || it.mAt <= *mWithdrawnAt + kMaxWithdrawalDelay));
      }
    }
    for (const auto& [key, count] : ordersRun) {
      INFO(key);
      CHECK(count <= 1);
    }
    for (const auto& [session, versions] : sessionVersions) {
      INFO(session);
      CHECK(versions.size() == 1);
    }
    for (int n = 0; n < kNodeCount; ++n) {
      const auto generation = mFleet.GenerationAt(n);
      CHECK(generation >= mGenerations[n]);
      mGenerations[n] = generation;
    }
  }

  void CheckFinalState()
  {
    INFO("seed " << mSeed << "\n" << mTrace);
    std::set<std::string> ran;
    for (const auto& it : mFleet.Runs()) {
      ran.insert(it.mRequest);
    }
    std::set<std::string> billed;
    for (const auto& it : mFleet.StoredUsageRecords()) {
      billed.insert(it.mRequest.Value());
    }
    for (const auto& [request, answers] : mFleet.Answers()) {
      INFO(request);
      CHECK(answers.size() == 1);
      const auto& answer = answers.front();
      INFO("answered by node " << mFleet.NodeOf(request) << " at "
                               << std::chrono::duration_cast<std::chrono::milliseconds>(
                                    answer.mAt.time_since_epoch() - kClockStart)
                                    .count()
                               << " ms");
      if (answer.mVerdict == Verdict::NotRun) {
        CHECK(ran.count(request) == 0);
      }
      if (answer.mKind == "finish") {
        CHECK(answer.mAttempt.rfind(request + ".", 0) == 0);
        CHECK(billed.count(request) == 1);
      }
    }
    for (const auto& [request, node] : Sent()) {
      INFO(request);
      CHECK((!mFleet.IsAlive(node) || mFleet.Answers().count(request) == 1));
    }
  }

  std::map<std::string, int> Sent() const
  {
    std::map<std::string, int> sent;
    for (int n = 0; n < kStepCount * 4; ++n) {
      const auto request = "request-" + std::to_string(n);
      sent[request] = mFleet.NodeOf(request);
    }
    return sent;
  }

  std::uint64_t mSeed;
  NodeFleet mFleet;
  boost::random::mt19937_64 mRandom;
  std::optional<TimePoint> mLastOutageTime;
  std::optional<TimePoint> mWithdrawnAt;
  std::map<int, Generation> mGenerations;
  int mKillCount = 0;
  std::string mTrace;
};

/** Returns the number of seeds to run: the environment variable SKYLARKCHUTE_SEEDS, or by default
    the number that CI runs. */
std::uint64_t SeedCount()
{
  constexpr std::uint64_t kSeedsInCi = 200;
  const auto* text = std::getenv("SKYLARKCHUTE_SEEDS");
  return text == nullptr ? kSeedsInCi : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("all promises hold on several nodes under random faults together")
{
  const auto* first = std::getenv("SKYLARKCHUTE_FIRST_SEED");
  const std::uint64_t firstSeed = first == nullptr ? 5000 : std::strtoull(first, nullptr, 10);
  const auto count = SeedCount();
  for (std::uint64_t n = 0; n < count; ++n) {
    RandomSchedule(firstSeed + n).Run();
  }
}
