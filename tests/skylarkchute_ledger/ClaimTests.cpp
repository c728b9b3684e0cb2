#include "LedgerFleet.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

ClaimRequest MakeRequest(const LedgerFleet& aFleet,
                         const std::string& aId,
                         const std::string& aKey,
                         const std::string& aFingerprint = "print")
{
  ClaimRequest request;
  request.mRequest = RequestId(aId);
  request.mTeam = TeamName("dispatch");
  request.mKey = RequestKey(aKey);
  request.mFingerprint = Fingerprint(aFingerprint);
  request.mExpires = aFleet.mClock.WallNow() + 24h;
  request.mDeadline = aFleet.mClock.Now() + 2s;
  return request;
}

ClaimOutcome MakeOutcome(const std::string& aBody)
{
  return { 200, Verdict::Ran, "text/plain", aBody, false };
}

/** Collects the answers of all instances; requires at most one per request. */
struct Answers
{
  explicit Answers(LedgerFleet& aFleet)
  {
    aFleet.mOnAnswer = [this](std::size_t, const ClaimAnswer& aAnswer) {
      const bool first = mByRequest.emplace(aAnswer.mRequest.Value(), aAnswer).second;
      REQUIRE(first);
    };
  }

  ClaimResult Result(const std::string& aRequest) const
  {
    REQUIRE(mByRequest.count(aRequest) == 1);
    return mByRequest.at(aRequest).mResult;
  }

  std::map<std::string, ClaimAnswer> mByRequest;
};

} // namespace

TEST_CASE("a resend through another instance gets the stored outcome")
{
  LedgerFleet fleet(1, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  fleet.Run(100ms);
  REQUIRE(answers.Result("a") == ClaimResult::Granted);
  REQUIRE(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
  fleet.Finish(0, RequestId("a"), MakeOutcome("sent"));
  fleet.Run(100ms);
  fleet.Kill(0, 10ms);
  fleet.Claim(1, MakeRequest(fleet, "b", "order"));
  fleet.Run(300ms);
  CHECK(answers.Result("b") == ClaimResult::Finished);
  CHECK(answers.mByRequest.at("b").mOutcome->mBody == "sent");
}

TEST_CASE("of two sends at once one is granted and the other waits for its outcome")
{
  const auto second = GENERATE(0U, 1U);
  LedgerFleet fleet(2, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  fleet.Claim(second, MakeRequest(fleet, "b", "order"));
  fleet.Run(100ms);
  REQUIRE(answers.mByRequest.size() == 1);
  const auto winner = answers.mByRequest.begin()->first;
  REQUIRE(answers.Result(winner) == ClaimResult::Granted);
  const std::size_t at = winner == "a" ? 0 : second;
  REQUIRE(fleet.At(at).mClaims->MarkDispatched(RequestId(winner)));
  fleet.Finish(at, RequestId(winner), MakeOutcome("sent"));
  fleet.Run(500ms);
  CHECK(answers.Result(winner == "a" ? "b" : "a") == ClaimResult::Finished);
}

TEST_CASE("a claim may be dispatched once only")
{
  LedgerFleet fleet(1, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  CHECK_FALSE(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
  fleet.Run(100ms);
  CHECK(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
  CHECK_FALSE(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
}

TEST_CASE("after the claimant was killed its request may have run, before or after dispatch")
{
  const bool dispatched = GENERATE(false, true);
  LedgerFleet fleet(3, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  fleet.Run(100ms);
  if (dispatched) {
    REQUIRE(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
  }
  fleet.Kill(0, 10ms);
  fleet.Claim(1, MakeRequest(fleet, "b", "order"));
  fleet.Run(300ms);
  CHECK(answers.Result("b") == ClaimResult::MayHaveRun);
}

TEST_CASE("a paused claimant keeps its claim, and a resend learns that it may have run")
{
  LedgerFleet fleet(4, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  fleet.Run(100ms);
  fleet.Pause(0);
  fleet.Claim(1, MakeRequest(fleet, "b", "order"));
  fleet.Run(1000ms);
  CHECK(answers.Result("b") == ClaimResult::MayHaveRun);
  fleet.Resume(0);
  CHECK(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
}

TEST_CASE("a claim that its claimant released may be claimed again, and only then")
{
  LedgerFleet fleet(5, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  fleet.Run(100ms);
  fleet.Abandon(0, RequestId("a"));
  CHECK_FALSE(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
  fleet.Run(100ms);
  fleet.Claim(1, MakeRequest(fleet, "b", "order"));
  fleet.Run(200ms);
  CHECK(answers.Result("b") == ClaimResult::Granted);
  fleet.Claim(2, MakeRequest(fleet, "c", "order"));
  fleet.Run(4000ms);
  CHECK(answers.Result("c") == ClaimResult::Running);
}

TEST_CASE("a certain not-run outcome releases the claim")
{
  LedgerFleet fleet(6, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  fleet.Run(100ms);
  REQUIRE(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
  fleet.Finish(0, RequestId("a"), { 503, Verdict::NotRun, "", "", false });
  fleet.Run(100ms);
  fleet.Claim(1, MakeRequest(fleet, "b", "order"));
  fleet.Run(200ms);
  CHECK(answers.Result("b") == ClaimResult::Granted);
}

TEST_CASE("the same key with another fingerprint is refused")
{
  const auto second = GENERATE(0U, 1U);
  LedgerFleet fleet(7, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  fleet.Run(100ms);
  fleet.Claim(second, MakeRequest(fleet, "b", "order", "other"));
  fleet.Run(200ms);
  CHECK(answers.Result("b") == ClaimResult::KeyReused);
}

TEST_CASE("a key whose first claim is about to expire is not granted again after a release")
{
  LedgerFleet fleet(8, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "order"));
  fleet.Run(100ms);
  fleet.Abandon(0, RequestId("a"));
  fleet.Run(100ms);
  fleet.mClock.Advance(20h);
  fleet.Claim(1, MakeRequest(fleet, "b", "order"));
  fleet.Run(300ms);
  CHECK(answers.Result("b") == ClaimResult::KeySpent);
}

TEST_CASE("in a store outage a claim is refused quickly, and its own instance still knows outcomes")
{
  LedgerFleet fleet(9, {});
  Answers answers(fleet);
  fleet.Claim(0, MakeRequest(fleet, "a", "known"));
  fleet.Run(100ms);
  REQUIRE(fleet.At(0).mClaims->MarkDispatched(RequestId("a")));
  fleet.mStore.SetOutage(true);
  fleet.Finish(0, RequestId("a"), MakeOutcome("sent"));
  fleet.Claim(0, MakeRequest(fleet, "b", "known"));
  fleet.Claim(0, MakeRequest(fleet, "c", "new"));
  fleet.Run(100ms);
  CHECK(answers.Result("b") == ClaimResult::Finished);
  CHECK(answers.Result("c") == ClaimResult::StoreDown);
  fleet.mStore.SetOutage(false);
  fleet.Run(2000ms);
  fleet.Kill(0, 10ms);
  fleet.Claim(2, MakeRequest(fleet, "d", "known"));
  fleet.Run(500ms);
  CHECK(answers.Result("d") == ClaimResult::Finished);
}

TEST_CASE("the memory of claims is bounded, and a forgotten one is never granted again")
{
  ClaimManager::Options options;
  options.mSelf = IncarnationId("self");
  options.mMaxOwnClaims = 16;
  ClaimManager claims(options);
  const TimePoint now{};
  const WallTime wall{};
  for (int n = 0; n < 100; ++n) {
    ClaimRequest request;
    request.mRequest = RequestId("r" + std::to_string(n));
    request.mTeam = TeamName("dispatch");
    request.mKey = RequestKey("k" + std::to_string(n));
    request.mExpires = wall + 24h;
    const auto output = claims.Claim(request, now, wall);
    REQUIRE(output.mRegisters.size() == 1);
    const auto& write = output.mRegisters.front();
    claims.OnRegister({ write.mOperationId, RegisterResult::Won, write.mWrite.mValue }, now, wall);
  }
  CHECK(claims.OwnClaimCount() == 16);
  CHECK_FALSE(claims.MarkDispatched(RequestId("r0")));
  CHECK(claims.MarkDispatched(RequestId("r99")));
  CHECK(claims.ClaimStatusOf(RequestId("r0")).mState == ClaimState::Unknown);
}

namespace {

/** Sends and resends a few orders at random through four instances, with restarts, pauses, two
    owners of one shard, lost peer messages and all store faults. Requires that no order runs twice
    and that the outcome of an order stays the same. */
void RunOrders(std::uint32_t aSeed)
{
  INFO("seed " << aSeed);
  DelayedObjectStore::Options faults;
  faults.mLostPermille = 40;
  faults.mLatePermille = 30;
  faults.mUnavailablePermille = 20;
  faults.mThrottledPermille = 20;
  LedgerFleet fleet(aSeed, faults);
  fleet.mPeerLossPermille = 40;
  std::map<std::string, std::string> keyOf;
  std::map<std::string, std::size_t> runs;
  std::map<std::string, std::string> outcomes;
  std::set<std::string> dispatched;
  struct Running
  {
    std::size_t mInstance = 0;
    std::size_t mIncarnationNumber = 0;
    std::string mRequest;
  };
  std::vector<Running> granted;
  std::vector<Running> running;
  fleet.mOnAnswer = [&](std::size_t aInstance, const ClaimAnswer& aAnswer) {
    const auto& request = aAnswer.mRequest.Value();
    const auto& key = keyOf.at(request);
    if (aAnswer.mResult == ClaimResult::Granted) {
      granted.push_back({ aInstance, fleet.At(aInstance).mIncarnationNumber, request });
    }
    if (aAnswer.mResult == ClaimResult::Finished) {
      REQUIRE(aAnswer.mOutcome);
      REQUIRE(runs[key] == 1);
      REQUIRE(outcomes.emplace(key, aAnswer.mOutcome->mBody).first->second ==
              aAnswer.mOutcome->mBody);
    }
    REQUIRE(aAnswer.mResult != ClaimResult::KeyReused);
    REQUIRE(dispatched.count(request) == 0);
  };
  for (int n = 0; n < 60; ++n) {
    const auto request = "r" + std::to_string(n);
    keyOf[request] = "order-" + std::to_string(fleet.Draw(11));
    fleet.Claim(fleet.Draw(3), MakeRequest(fleet, request, keyOf[request]));
    if (fleet.Draw(9) == 0) {
      fleet.Abandon(fleet.Draw(3), RequestId("r" + std::to_string(fleet.Draw(n))));
    }
    if (fleet.Draw(14) == 0) {
      fleet.Pause(fleet.Draw(3));
    }
    if (fleet.Draw(4) == 0) {
      fleet.Resume(fleet.Draw(3));
    }
    if (fleet.Draw(19) == 0) {
      fleet.Kill(fleet.Draw(3), 50ms);
    }
    if (fleet.Draw(9) == 0) {
      const auto index = fleet.Draw(3);
      fleet.SetMembers(index, { LedgerFleet::NameOf(index) });
    }
    fleet.Run(std::chrono::milliseconds(fleet.Draw(40)));
    auto starting = std::move(granted);
    granted.clear();
    for (const auto& it : starting) {
      auto& node = fleet.At(it.mInstance);
      if (node.mPaused || fleet.Draw(2) == 0) {
        granted.push_back(it);
      } else if (node.mIncarnationNumber == it.mIncarnationNumber &&
                 node.mClaims->MarkDispatched(RequestId(it.mRequest))) {
        REQUIRE(++runs[keyOf[it.mRequest]] == 1);
        dispatched.insert(it.mRequest);
        running.push_back(it);
      }
    }
    auto ending = std::move(running);
    running.clear();
    for (const auto& it : ending) {
      auto& node = fleet.At(it.mInstance);
      if (node.mIncarnationNumber != it.mIncarnationNumber) {
        continue;
      }
      if (node.mPaused || fleet.Draw(2) == 0) {
        running.push_back(it);
      } else if (fleet.Draw(4) == 0) {
        --runs[keyOf[it.mRequest]];
        fleet.Finish(it.mInstance, RequestId(it.mRequest), { 503, Verdict::NotRun, "", "", false });
      } else {
        fleet.Finish(it.mInstance, RequestId(it.mRequest), MakeOutcome(it.mRequest));
      }
    }
  }
  for (std::size_t n = 0; n < fleet.Size(); ++n) {
    fleet.Resume(n);
  }
  fleet.Run(3000ms);
  for (const auto& [key, count] : runs) {
    REQUIRE(count <= 1);
  }
}

} // namespace

TEST_CASE("no order runs twice and no outcome changes under random failures")
{
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    RunOrders(seed);
  }
}
