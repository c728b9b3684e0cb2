#include "RollFleet.h"
#include "support/BundleTexts.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

// Values of the roll in SmallBundleText: stages 5, 50 and 100 per cent, hold 10 s, evidence 100.
constexpr auto kHold = 10s;
constexpr std::uint64_t kEvidence = 100;
constexpr std::uint32_t kStages = 3;

std::size_t CountWrites(const FakeObjectStore& aStore)
{
  return aStore.Counts().mWrites;
}

bool AllWithdrawn(const RollFleet& aFleet)
{
  return std::all_of(aFleet.mNodes.begin(), aFleet.mNodes.end(), [](const RollFleet::Node& aNode) {
    return !aNode.mRunning || (aNode.mShares.size() == 1 && aNode.mShares[0].mWithdrawn);
  });
}

/** Checks that every change of the roll object is an allowed transition. */
class RollInvariantChecker
{
public:
  void Observe(const RollFleet& aFleet)
  {
    const auto record = aFleet.Stored();
    if (!record || (mLast && *record == *mLast)) {
      return;
    }
    if (!mLast) {
      CHECK(record->mStage == 0);
    } else {
      CHECK(mLast->mPhase != RollPhase::Withdrawn);
      CheckStep(*record, aFleet.mClock.WallNow());
    }
    if (record->mPhase == RollPhase::Withdrawn) {
      ++mWithdrawals;
    }
    mLast = record;
  }

  std::size_t mWithdrawals = 0;
  bool mMayWithdraw = false;

private:
  void CheckStep(const RollRecord& aRecord, WallTime aNow) const
  {
    if (aRecord.mPhase == RollPhase::Withdrawn) {
      CHECK(mMayWithdraw);
      CHECK(aRecord.mStage == mLast->mStage);
      return;
    }
    const auto ended = aRecord.mPhase == RollPhase::Finished || aRecord.mStage != mLast->mStage;
    CHECK(aRecord.mStage >= mLast->mStage);
    CHECK(aRecord.mStage <= mLast->mStage + 1);
    if (ended) {
      CHECK(aNow - mLast->mStageSince >= kHold);
    }
  }

  std::optional<RollRecord> mLast;
};

} // namespace

TEST_CASE("a healthy roll passes its stages by one driver")
{
  RollFleet fleet(9, SmallBundleText());
  fleet.Run(2s);
  CHECK(fleet.Stored()->mStage == 0);
  for (const auto& it : fleet.mNodes) {
    REQUIRE(it.mShares.size() == 1);
    CHECK(it.mShares[0].mPercent == 5);
  }
  fleet.Run(kHold + 2s);
  CHECK(fleet.mNodes[3].mShares[0].mPercent == 50);
  fleet.Run(kHold + 2s);
  CHECK(fleet.mNodes[3].mShares[0].mPercent == 100);
  fleet.Run(kHold + 2s);
  CHECK(fleet.Stored()->mPhase == RollPhase::Finished);
  // The writes are the first record, two stage changes and the finish.
  CHECK(CountWrites(fleet.mStore) == 4);
  fleet.Run(60s);
  CHECK(CountWrites(fleet.mStore) == 4);
}

TEST_CASE("a stage does not end without evidence, time, a fresh verdict and readiness")
{
  RollFleet fleet(3, SmallBundleText());
  SECTION("without evidence")
  {
    fleet.mRequestsPerSecond = 0;
  }
  SECTION("with too little evidence")
  {
    fleet.mRequestsPerSecond = 1;
    fleet.Run(std::chrono::seconds(kEvidence - 2));
    CHECK(fleet.Stored()->mStage == 0);
    fleet.Run(5s);
    CHECK(fleet.Stored()->mStage == 1);
    return;
  }
  SECTION("without a verdict")
  {
    fleet.mVerdict.mHealth = VersionCondition::Undecided;
  }
  SECTION("before the endpoints are ready")
  {
    for (auto& it : fleet.mNodes) {
      it.mDriver->SetNextStageReady(RollFleet::kRoll, false);
    }
  }
  fleet.Run(60s);
  CHECK(fleet.Stored()->mStage == 0);
}

TEST_CASE("an outdated healthy verdict does not end a stage")
{
  RollDriverOptions options;
  options.mSelf = InstanceId("a");
  RollDriver driver(options);
  driver.ApplyMembers({ options.mSelf });
  ManualClock clock;
  const auto start = clock.Now();
  FakeObjectStore store;
  const auto bundle = ParseBundle(SmallBundleText()).value();
  std::vector<ObjectCall> calls;
  const auto take = [&](RollDriverOutput aOutput) {
    calls.insert(calls.end(), aOutput.mCalls.begin(), aOutput.mCalls.end());
  };
  take(driver.ApplyBundle(bundle, HeadOf(SmallBundleText(), 1), clock.Now(), clock.WallNow()));
  take(driver.ApplyVerdict(
    RollFleet::kRoll, { VersionCondition::Healthy, "" }, clock.Now(), clock.WallNow()));
  for (int n = 0; n < 400; ++n) {
    for (const auto& it : std::exchange(calls, {})) {
      take(driver.OnReply(store.Call(it), clock.Now(), clock.WallNow()));
    }
    VersionEvidence evidence;
    evidence.mVersion = VersionId("small/2");
    // Evidence arrives only after the verdict has expired.
    evidence.mRequests = clock.Now() - start > 15s ? 10 : 0;
    driver.AddEvidence({ evidence });
    clock.Advance(100ms);
    take(driver.Tick(clock.Now(), clock.WallNow()));
  }
  CHECK(ReadRollRecord(store.Body(RollKey(1, RollFleet::kRoll)))->mStage == 0);
}

TEST_CASE("a bad verdict withdraws at once on the instance and then everywhere, recorded once")
{
  RollFleet fleet(9, SmallBundleText());
  fleet.Run(3s);
  fleet.mVerdict = { VersionCondition::Undecided, "" };
  const auto reporter = (fleet.FirstDriver() + 4) % 9;
  fleet.GiveVerdict(reporter, { VersionCondition::Bad, "errors" });
  CHECK(fleet.mNodes[reporter].mShares[0].mWithdrawn);
  fleet.mVerdict = { VersionCondition::Bad, "errors" };
  fleet.Run(5s);
  CHECK(AllWithdrawn(fleet));
  CHECK(fleet.Stored()->mReason == "errors");
  CHECK(fleet.mStore.Keys("audit/").size() == 1);
  const auto audit = ReadAuditRecord(fleet.mStore.Body(fleet.mStore.Keys("audit/")[0]));
  REQUIRE(audit);
  CHECK(audit->mAction == AuditAction::Withdrawn);
  // Neither a healthy verdict nor a restart reverses the withdrawal.
  fleet.mVerdict = { VersionCondition::Healthy, "" };
  fleet.Start(2);
  fleet.Run(60s);
  CHECK(AllWithdrawn(fleet));
}

TEST_CASE("a bad verdict on one instance alone is recorded as a withdrawal")
{
  RollFleet fleet(9, SmallBundleText());
  fleet.Run(3s);
  fleet.mVerdict = { VersionCondition::Undecided, "" };
  const auto reporter = (fleet.FirstDriver() + 4) % 9;
  fleet.GiveVerdict(reporter, { VersionCondition::Bad, "errors" });
  fleet.Run(30s);
  CHECK(AllWithdrawn(fleet));
}

TEST_CASE("a roll that finished can still be withdrawn")
{
  RollFleet fleet(3, SmallBundleText());
  fleet.Run(3 * kHold + 5s);
  REQUIRE(fleet.Stored()->mPhase == RollPhase::Finished);
  fleet.mVerdict = { VersionCondition::Bad, "latency" };
  fleet.Run(5s);
  CHECK(fleet.Stored()->mPhase == RollPhase::Withdrawn);
  CHECK(AllWithdrawn(fleet));
}

TEST_CASE("a roll goes on when its driver dies before or after any of its writes")
{
  const auto writeFault = GENERATE(StoreFault::LostBeforeEffect, StoreFault::LostAfterEffect);
  for (std::uint64_t write = 1; write <= kStages + 1; ++write) {
    INFO("write " << write << ", fault " << static_cast<int>(writeFault));
    RollFleet fleet(5, SmallBundleText());
    RollInvariantChecker checker;
    std::uint64_t writes = 0;
    std::optional<std::size_t> dead;
    fleet.mStore.SetFaults([&](const ObjectCall& aCall) {
      const auto isWrite = std::holds_alternative<PutObject>(aCall.mOperation);
      return isWrite && ++writes == write ? writeFault : StoreFault::None;
    });
    fleet.mBeforeCall = [&](std::size_t aNode, const ObjectCall& aCall) {
      if (std::holds_alternative<PutObject>(aCall.mOperation) && writes + 1 == write) {
        dead = aNode;
      }
    };
    for (int n = 0; n < 1600; ++n) {
      fleet.Step();
      if (dead && fleet.mNodes[*dead].mRunning) {
        fleet.Kill(*dead);
      }
      checker.Observe(fleet);
    }
    REQUIRE(dead);
    CHECK(fleet.Stored()->mPhase == RollPhase::Finished);
  }
}

TEST_CASE("a withdrawal is recorded when its driver dies before or after the write")
{
  for (const auto writeFault : { StoreFault::LostBeforeEffect, StoreFault::LostAfterEffect }) {
    RollFleet fleet(5, SmallBundleText());
    fleet.Run(3s);
    std::optional<std::size_t> dead;
    fleet.mStore.SetFaults([&](const ObjectCall& aCall) {
      const auto isWrite = std::holds_alternative<PutObject>(aCall.mOperation);
      return isWrite && !dead ? writeFault : StoreFault::None;
    });
    fleet.mBeforeCall = [&](std::size_t aNode, const ObjectCall& aCall) {
      if (std::holds_alternative<PutObject>(aCall.mOperation) && !dead) {
        fleet.mStore.Call(aCall);
        dead = aNode;
        fleet.Kill(aNode);
      }
    };
    fleet.mVerdict = { VersionCondition::Bad, "errors" };
    fleet.Run(10s);
    REQUIRE(dead);
    CHECK(fleet.Stored()->mPhase == RollPhase::Withdrawn);
    CHECK(AllWithdrawn(fleet));
  }
}

TEST_CASE("two drivers that both believe to be first do no harm")
{
  RollFleet fleet(2, SmallBundleText());
  for (auto& it : fleet.mNodes) {
    it.mDriver->ApplyMembers({ it.mId });
  }
  RollInvariantChecker checker;
  for (int n = 0; n < 1200; ++n) {
    fleet.Step();
    checker.Observe(fleet);
  }
  CHECK(fleet.Stored()->mPhase == RollPhase::Finished);
}

TEST_CASE("a driver that was paused does no harm when it resumes")
{
  RollFleet fleet(3, SmallBundleText());
  RollInvariantChecker checker;
  const auto run = [&](std::chrono::milliseconds aTime) {
    for (auto n = aTime / RollFleet::kStep; n > 0; --n) {
      fleet.Step();
      checker.Observe(fleet);
    }
  };
  run(9s);
  auto& driver = fleet.mNodes[fleet.FirstDriver()];
  driver.mPaused = true;
  run(20s);
  CHECK(fleet.Stored()->mStage == 1);
  checker.mMayWithdraw = true;
  fleet.mVerdict = { VersionCondition::Bad, "errors" };
  run(5s);
  CHECK(fleet.Stored()->mPhase == RollPhase::Withdrawn);
  fleet.mVerdict = { VersionCondition::Healthy, "" };
  driver.mPaused = false;
  run(30s);
  CHECK(fleet.Stored()->mPhase == RollPhase::Withdrawn);
  CHECK(AllWithdrawn(fleet));
  CHECK(checker.mWithdrawals == 1);
}

TEST_CASE("an outage halts a roll but not a withdrawal on the instances that saw it")
{
  RollFleet fleet(3, SmallBundleText());
  fleet.Run(3s);
  fleet.mStore.SetOutage(true);
  fleet.Run(60s);
  CHECK(fleet.mNodes[0].mShares[0].mPercent == 5);
  fleet.mVerdict = { VersionCondition::Bad, "errors" };
  fleet.Run(2s);
  CHECK(AllWithdrawn(fleet));
  CHECK(fleet.Stored()->mPhase == RollPhase::Running);
  fleet.mStore.SetOutage(false);
  fleet.Run(20s);
  CHECK(fleet.Stored()->mPhase == RollPhase::Withdrawn);
}

TEST_CASE("an instance that starts in an outage learns of a withdrawal from a peer")
{
  RollFleet fleet(2, SmallBundleText());
  fleet.mVerdict = { VersionCondition::Bad, "errors" };
  fleet.Run(10s);
  REQUIRE(AllWithdrawn(fleet));
  fleet.mVerdict = { VersionCondition::Undecided, "" };
  fleet.mStore.SetOutage(true);
  fleet.Start(1);
  auto& driver = *fleet.mNodes[1].mDriver;
  CHECK(driver.Shares()[0].mPercent == 0);
  for (const auto& it : fleet.mNodes[0].mDriver->Records()) {
    driver.ApplyPeerRecord(it, fleet.mClock.Now(), fleet.mClock.WallNow());
  }
  CHECK(driver.Shares()[0].mWithdrawn);
}

TEST_CASE("a withdrawal that the store has lost is written again")
{
  RollFleet fleet(2, SmallBundleText());
  fleet.Run(3s);
  const auto old = fleet.mStore.Body(RollKey(1, RollFleet::kRoll));
  fleet.mVerdict = { VersionCondition::Bad, "errors" };
  fleet.Run(5s);
  fleet.mVerdict = { VersionCondition::Undecided, "" };
  fleet.mStore.Overwrite(RollKey(1, RollFleet::kRoll), old);
  fleet.Run(5s);
  CHECK(fleet.Stored()->mPhase == RollPhase::Withdrawn);
}

TEST_CASE("an unchanged roll goes on under a newer bundle, a changed one begins anew")
{
  RollFleet fleet(1, SmallBundleText());
  fleet.Run(kHold + 3s);
  REQUIRE(fleet.mNodes[0].mShares[0].mPercent == 50);
  auto head = HeadOf(SmallBundleText("other"), 2);
  head.mRolls = { { RollFleet::kRoll, 1 } };
  const auto now = fleet.mClock.Now();
  auto& driver = *fleet.mNodes[0].mDriver;
  driver.ApplyBundle(fleet.mBundle, head, now, fleet.mClock.WallNow());
  CHECK(driver.Shares()[0].mPercent == 50);
  head.mRolls = { { RollFleet::kRoll, 3 } };
  driver.ApplyBundle(fleet.mBundle, head, now, fleet.mClock.WallNow());
  CHECK(driver.Shares()[0].mPercent == 0);
}

TEST_CASE("a damaged roll object is left alone and its version gets nothing")
{
  RollFleet fleet(2, SmallBundleText());
  fleet.mStore.Overwrite(RollKey(1, RollFleet::kRoll), "{}");
  fleet.Run(60s);
  CHECK(fleet.mStore.Body(RollKey(1, RollFleet::kRoll)) == "{}");
  CHECK(fleet.mNodes[0].mDriver->Shares()[0].mPercent == 0);
}

TEST_CASE("random faults never break a roll's rules")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    boost::random::mt19937_64 random(seed);
    const auto draw = [&](int aMost) {
      return boost::random::uniform_int_distribution<int>(0, aMost)(random);
    };
    RollFleet fleet(4, SmallBundleText(), seed);
    RollInvariantChecker checker;
    const auto badAt = draw(3) == 0 ? draw(1500) : -1;
    fleet.mStore.SetFaults([&](const ObjectCall&) {
      const auto n = draw(30);
      return n < 4 ? static_cast<StoreFault>(n) : StoreFault::None;
    });
    for (int n = 0; n < 2400; ++n) {
      const auto node = static_cast<std::size_t>(draw(3));
      switch (draw(200)) {
        case 0:
          fleet.Kill(node);
          break;
        case 1:
          fleet.Start(node);
          break;
        case 2:
          fleet.mNodes[node].mPaused = fleet.mNodes[node].mRunning;
          break;
        case 3:
          fleet.mNodes[node].mPaused = false;
          break;
        case 4:
          fleet.mStore.SetOutage(draw(2) == 0);
          break;
        default:
          break;
      }
      if (n == badAt) {
        fleet.mVerdict = { VersionCondition::Bad, "errors" };
        checker.mMayWithdraw = true;
      }
      fleet.Step();
      checker.Observe(fleet);
    }
    fleet.mStore.SetFaults(nullptr);
    fleet.mStore.SetOutage(false);
    for (std::size_t n = 0; n < 4; ++n) {
      fleet.mNodes[n].mPaused = false;
      if (!fleet.mNodes[n].mRunning) {
        fleet.Start(n);
      }
    }
    for (int n = 0; n < 2000; ++n) {
      fleet.Step();
      checker.Observe(fleet);
    }
    REQUIRE(fleet.Stored());
    CHECK(fleet.Stored()->mPhase == (badAt >= 0 ? RollPhase::Withdrawn : RollPhase::Finished));
    CHECK(checker.mWithdrawals == (badAt >= 0 ? 1 : 0));
    CHECK(fleet.mStore.Keys("audit/").size() == checker.mWithdrawals);
  }
}
