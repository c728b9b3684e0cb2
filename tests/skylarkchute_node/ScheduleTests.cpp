#include "NodeFleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <optional>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

constexpr int kNodes = 3;
constexpr int kSteps = 60;
constexpr std::chrono::seconds kInForceBound{ 5 };
constexpr std::chrono::hours kClockStart{ 1 }; // Where a ManualClock begins.

/** Draws faults and requests from a seed and checks what must always hold. */
class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed) : mSeed(aSeed), mFleet(aSeed, kNodes), mRandom(aSeed) {}

  /** Runs the schedule. */
  void Run()
  {
    for (int n = 0; n < kSteps; ++n) {
      TakeFault();
      SendRequests();
      mFleet.Run(std::chrono::milliseconds(Draw(20, 400)));
      CheckRunning();
    }
    EndFaults();
    mFleet.Run(70s);
    CheckRunning();
    CheckAtEnd();
  }

private:
  int Draw(int aLeast, int aMost)
  {
    return boost::random::uniform_int_distribution<int>(aLeast, aMost)(mRandom);
  }

  int LiveNode()
  {
    for (;;) {
      const auto node = Draw(0, kNodes - 1);
      if (mFleet.IsAlive(node)) {
        return node;
      }
    }
  }

  void TakeFault()
  {
    switch (Draw(0, 15)) {
      case 0:
        Note("outage begins");
        mFleet.Store().SetOutage(true);
        mLastOutage = mFleet.Now();
        break;
      case 1:
      case 2:
        mLastOutage = mFleet.Store().IsInOutage() ? mFleet.Now() : mLastOutage;
        Note("outage ends");
        mFleet.Store().SetOutage(false);
        break;
      case 3:
        mFleet.Store().FailOnce(static_cast<std::uint64_t>(Draw(0, 5)),
                                StoreFault::LostAfterEffect);
        break;
      case 4:
        PauseOne();
        break;
      case 5:
      case 6:
        ResumeAll();
        break;
      case 7:
        if (mKilled == 0 && mFleet.IsAlive(kNodes - 1)) {
          Note("kill of node " + std::to_string(kNodes - 1));
          mFleet.Kill(kNodes - 1);
          ++mKilled;
        }
        break;
      case 8:
        mFleet.BreakNext(1);
        break;
      case 9:
        mFleet.RefuseNext(2);
        break;
      case 10:
        Withdraw();
        break;
      default:
        break;
    }
  }

  void PauseOne()
  {
    const auto node = LiveNode();
    Note("pause of node " + std::to_string(node));
    mFleet.Pause(node);
  }

  /** Adds a line to the trace that a failed check prints. */
  void Note(const std::string& aWhat)
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
    Note("all resume");
    for (int n = 0; n < kNodes; ++n) {
      if (mFleet.IsPaused(n) && mFleet.IsAlive(n)) {
        mFleet.Resume(n);
      }
    }
  }

  void EndFaults()
  {
    mFleet.Store().SetOutage(false);
    mFleet.BreakNext(0);
    mFleet.RefuseNext(0);
    ResumeAll();
  }

  void SendRequests()
  {
    mFleet.SendChat(LiveNode());
    mFleet.SendChat(LiveNode(), "session-" + std::to_string(Draw(0, 4)));
    const auto key = "order-" + std::to_string(Draw(0, 20));
    mFleet.SendOrder(LiveNode(), key);
    mFleet.SendOrder(LiveNode(), key);
  }

  void CheckRunning()
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
        const bool storeWasUp = mLastOutage < *mWithdrawnAt || !mLastOutage;
        CHECK((!storeWasUp || it.mAt <= *mWithdrawnAt + kInForceBound));
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
    for (int n = 0; n < kNodes; ++n) {
      const auto generation = mFleet.GenerationAt(n);
      CHECK(generation >= mGenerations[n]);
      mGenerations[n] = generation;
    }
  }

  void CheckAtEnd()
  {
    INFO("seed " << mSeed << "\n" << mTrace);
    std::set<std::string> ran;
    for (const auto& it : mFleet.Runs()) {
      ran.insert(it.mRequest);
    }
    std::set<std::string> billed;
    for (const auto& it : mFleet.Billed()) {
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
    for (int n = 0; n < kSteps * 4; ++n) {
      const auto request = "request-" + std::to_string(n);
      sent[request] = mFleet.NodeOf(request);
    }
    return sent;
  }

  std::uint64_t mSeed;
  NodeFleet mFleet;
  boost::random::mt19937_64 mRandom;
  std::optional<TimePoint> mLastOutage;
  std::optional<TimePoint> mWithdrawnAt;
  std::map<int, Generation> mGenerations;
  int mKilled = 0;
  std::string mTrace;
};

/** Returns how many seeds to run: SKYLARKCHUTE_SEEDS, or the number that CI runs. */
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
    Schedule(firstSeed + n).Run();
  }
}
