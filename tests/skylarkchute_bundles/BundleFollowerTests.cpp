#include "FollowerFleet.h"
#include "support/BundleTexts.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

/** Maximum time in this file's tests until an accepted bundle is in force. */
constexpr auto kMaxTimeToInForce = 5s;

} // namespace

TEST_CASE("an accepted bundle is in force on every instance within its bound")
{
  FollowerFleet fleet(9, 3);
  fleet.StartAll();
  fleet.Run(1s);
  CHECK(fleet.CountAtGeneration(0) == 9);
  CHECK(fleet.CountNeedingConfirmation() == 9);
  PutInForce(fleet.mStore, SmallBundleText("one"), 1);
  fleet.Run(kMaxTimeToInForce);
  CHECK(fleet.CountAtGeneration(1) == 9);
  PutInForce(fleet.mStore, SmallBundleText("two"), 2);
  fleet.Run(kMaxTimeToInForce);
  CHECK(fleet.CountAtGeneration(2) == 9);
  CHECK(fleet.mNodes[4].mFollower->Current()->mTitle == "two");
  CHECK(fleet.CountNeedingConfirmation() == 0);
}

TEST_CASE("an instance never goes down in generation when the platform shows an older head")
{
  FollowerFleet fleet(3, 3);
  PutInForce(fleet.mStore, SmallBundleText("old"), 4);
  const auto oldHead = fleet.mStore.Body(std::string(kHeadKey));
  PutInForce(fleet.mStore, SmallBundleText("new"), 5);
  fleet.StartAll();
  fleet.Run(2s);
  REQUIRE(fleet.CountAtGeneration(5) == 3);
  fleet.mStore.SetOutage(true);
  fleet.Run(20s);
  fleet.mStore.Overwrite(std::string(kHeadKey), oldHead);
  fleet.mStore.SetOutage(false);
  fleet.Run(20s);
  CHECK(fleet.CountAtGeneration(5) == 3);
  CHECK(fleet.CountEvents(0, kHeadBehind) == 1);
  CHECK(fleet.CountNeedingConfirmation() == 0);
  fleet.mStore.Remove(std::string(kHeadKey));
  fleet.mStore.SetOutage(true);
  fleet.Run(1s);
  fleet.mStore.SetOutage(false);
  fleet.Run(20s);
  CHECK(fleet.CountAtGeneration(5) == 3);
}

TEST_CASE("an instance never takes an older head from a peer")
{
  FollowerFleet fleet(3, 1);
  PutInForce(fleet.mStore, SmallBundleText("old"), 4);
  const auto oldHead = fleet.mStore.Body(std::string(kHeadKey));
  PutInForce(fleet.mStore, SmallBundleText("new"), 5);
  fleet.StartAll();
  fleet.Run(2s);
  REQUIRE(fleet.CountAtGeneration(5) == 3);
  std::size_t modifiedAnswers = 0;
  fleet.mModifyAnswer = [&](PeerPartsAnswer& aAnswer) {
    aAnswer.mHead.mGeneration = 4;
    aAnswer.mHead.mConfirmedAge = 0ms;
    aAnswer.mHeadJson = oldHead;
    ++modifiedAnswers;
  };
  // After a pause an instance requests heads from its peers.
  for (int n = 0; n < 5; ++n) {
    fleet.mNodes[0].mPaused = true;
    fleet.Run(3s);
    fleet.mNodes[0].mPaused = false;
    fleet.Run(3s);
  }
  CHECK(modifiedAnswers >= 5);
  CHECK(fleet.CountAtGeneration(5) == 3);
  CHECK(fleet.mNodes[0].mGenerations == std::vector<Generation>{ 5 });
}

TEST_CASE("after a pause only what was confirmed since then counts")
{
  FollowerFleet fleet(2, 1);
  PutInForce(fleet.mStore, SmallBundleText(), 1);
  fleet.StartAll();
  fleet.Run(2s);
  fleet.mGossipEnabled = false;
  fleet.mIsPartitioned = [](std::size_t, std::size_t) { return true; };
  auto& node = fleet.mNodes[0];
  node.mStoreUnreachable = true;
  node.mPaused = true;
  fleet.Run(3s);
  node.mPaused = false;
  fleet.Run(2s);
  const auto peer = fleet.mNodes[1].mId;
  node.mFollower->OnPeerHead({ peer, 1, 3000ms }, fleet.mClock.Now());
  CHECK(node.mFollower->NeedsConfirmation(fleet.mClock.Now()));
  node.mFollower->OnPeerHead({ peer, 1, 500ms }, fleet.mClock.Now());
  CHECK_FALSE(node.mFollower->NeedsConfirmation(fleet.mClock.Now()));
}

TEST_CASE("an instance that starts in an outage takes a peer's copy")
{
  FollowerFleet fleet(6, 3);
  PutInForce(fleet.mStore, SmallBundleText(), 3);
  fleet.StartAll();
  fleet.Run(2s);
  fleet.Kill(2);
  fleet.mStore.SetOutage(true);
  fleet.Run(1s);
  fleet.Start(2);
  CHECK(fleet.mNodes[2].mFollower->NeedsConfirmation(fleet.mClock.Now()));
  fleet.Run(kMaxTimeToInForce);
  CHECK(fleet.mNodes[2].mFollower->CurrentGeneration() == 3);
}

TEST_CASE("damaged parts and heads of peers are refused")
{
  FollowerFleet fleet(4, 1);
  PutInForce(fleet.mStore, SmallBundleText(), 3);
  fleet.Start(0);
  fleet.Start(1);
  fleet.Run(2s);
  fleet.mStore.SetOutage(true);
  bool damageHead = false;
  fleet.mModifyAnswer = [&](PeerPartsAnswer& aAnswer) {
    for (auto& it : aAnswer.mParts) {
      it.mText = Replaced(it.mText, "concurrency = 50", "concurrency = 5000");
    }
    if (damageHead && !aAnswer.mHeadJson.empty()) {
      aAnswer.mHeadJson = Replaced(aAnswer.mHeadJson, "team/police", "team/palace");
    }
  };
  fleet.Start(2);
  fleet.Run(30s);
  CHECK(fleet.mNodes[2].mFollower->CurrentGeneration() == 0);
  CHECK(fleet.CountEvents(2, kPartDamaged) > 0);
  damageHead = true;
  fleet.Start(3);
  fleet.Run(30s);
  CHECK(fleet.mNodes[3].mFollower->CurrentGeneration() == 0);
  CHECK(fleet.CountEvents(3, kHeadUnreadable) > 0);
  fleet.mModifyAnswer = nullptr;
  fleet.Run(30s);
  CHECK(fleet.CountAtGeneration(3) == 4);
}

TEST_CASE("a damaged part of a peer is fetched from the platform instead")
{
  FollowerFleet fleet(4, 1);
  PutInForce(fleet.mStore, SmallBundleText(), 3);
  fleet.mModifyAnswer = [](PeerPartsAnswer& aAnswer) {
    for (auto& it : aAnswer.mParts) {
      it.mText += "\n";
    }
  };
  fleet.StartAll();
  fleet.Run(kMaxTimeToInForce);
  CHECK(fleet.CountAtGeneration(3) == 4);
}

TEST_CASE("an instance that lost only the store follows through its peers")
{
  FollowerFleet fleet(6, 3);
  PutInForce(fleet.mStore, SmallBundleText("one"), 1);
  fleet.StartAll();
  fleet.Run(2s);
  fleet.mNodes[0].mStoreUnreachable = true;
  fleet.Run(30s);
  CHECK_FALSE(fleet.mNodes[0].mFollower->NeedsConfirmation(fleet.mClock.Now()));
  PutInForce(fleet.mStore, SmallBundleText("two"), 2);
  fleet.Run(13s);
  CHECK(fleet.CountAtGeneration(2) == 6);
}

TEST_CASE("a store that is down for all stops nobody")
{
  FollowerFleet fleet(6, 3);
  PutInForce(fleet.mStore, SmallBundleText(), 1);
  fleet.StartAll();
  fleet.Run(2s);
  fleet.mStore.SetOutage(true);
  for (int n = 0; n < 600; ++n) {
    fleet.Run(100ms);
    REQUIRE(fleet.CountNeedingConfirmation() == 0);
  }
}

TEST_CASE("a region that is cut off needs confirmation, the other does not")
{
  FollowerFleet fleet(8, 4);
  PutInForce(fleet.mStore, SmallBundleText("one"), 1);
  fleet.StartAll();
  fleet.Run(2s);
  const auto isIsolated = [&](std::size_t aNode) {
    return fleet.mNodes[aNode].mZone.Value() >= "zone-2";
  };
  fleet.mIsPartitioned = [&](std::size_t aFrom, std::size_t aTo) {
    return isIsolated(aFrom) != isIsolated(aTo);
  };
  for (std::size_t n = 0; n < fleet.mNodes.size(); ++n) {
    fleet.mNodes[n].mStoreUnreachable = isIsolated(n);
  }
  PutInForce(fleet.mStore, SmallBundleText("two"), 2);
  fleet.Run(13s);
  for (std::size_t n = 0; n < fleet.mNodes.size(); ++n) {
    const auto& follower = *fleet.mNodes[n].mFollower;
    CHECK(follower.NeedsConfirmation(fleet.mClock.Now()) == isIsolated(n));
    CHECK(follower.CurrentGeneration() == (isIsolated(n) ? 1 : 2));
  }
  fleet.mIsPartitioned = nullptr;
  for (auto& it : fleet.mNodes) {
    it.mStoreUnreachable = false;
  }
  fleet.Run(6s);
  CHECK(fleet.CountAtGeneration(2) == 8);
  CHECK(fleet.CountNeedingConfirmation() == 0);
}

TEST_CASE("a paused instance needs confirmation until an answer from after the pause")
{
  FollowerFleet fleet(3, 3);
  PutInForce(fleet.mStore, SmallBundleText("one"), 1);
  fleet.StartAll();
  fleet.Run(2s);
  auto& node = fleet.mNodes[1];
  node.mPaused = true;
  fleet.Run(3s);
  PutInForce(fleet.mStore, SmallBundleText("two"), 2);
  CHECK(node.mFollower->NeedsConfirmation(fleet.mClock.Now()));
  // A message buffered since before the second generation is no confirmation.
  node.mFollower->OnPeerHead({ fleet.mNodes[0].mId, 1, 0ms }, fleet.mClock.Now());
  CHECK(node.mFollower->NeedsConfirmation(fleet.mClock.Now()));
  node.mPaused = false;
  while (node.mFollower->CurrentGeneration() == 1) {
    REQUIRE(node.mFollower->NeedsConfirmation(fleet.mClock.Now()));
    fleet.Run(FollowerFleet::kStep);
  }
  fleet.Run(1s);
  CHECK_FALSE(node.mFollower->NeedsConfirmation(fleet.mClock.Now()));
}

TEST_CASE("an instance that a peer told of a newer generation needs confirmation even in an outage")
{
  FollowerFleet fleet(3, 3);
  PutInForce(fleet.mStore, SmallBundleText(), 1);
  fleet.StartAll();
  fleet.Run(2s);
  fleet.mStore.SetOutage(true);
  const auto now = fleet.mClock.Now();
  fleet.mNodes[0].mFollower->OnPeerHead({ fleet.mNodes[1].mId, 2, 0ms }, now);
  fleet.Run(11s);
  CHECK(fleet.mNodes[0].mFollower->NeedsConfirmation(fleet.mClock.Now()));
  CHECK_FALSE(fleet.mNodes[2].mFollower->NeedsConfirmation(fleet.mClock.Now()));
}

TEST_CASE("a bundle that cannot be parsed leaves the one in force")
{
  FollowerFleet fleet(2, 1);
  PutInForce(fleet.mStore, SmallBundleText("one"), 1);
  fleet.StartAll();
  fleet.Run(2s);
  const std::string text = "[bundle]\ntitle = broken\n";
  BundleHead head;
  head.mGeneration = 2;
  head.mParts = { { "bundle", Sha256Hex(text) } };
  head.mBundle = ComputeBundleId(head.mParts);
  fleet.mStore.Overwrite(PartKey(head.mParts[0].mHash), text);
  fleet.mStore.Overwrite(std::string(kHeadKey), WriteHead(head));
  fleet.Run(15s);
  CHECK(fleet.CountAtGeneration(1) == 2);
  CHECK(fleet.CountEvents(0, kBundleRefused) == 1);
  CHECK(fleet.CountNeedingConfirmation() == 2);
  PutInForce(fleet.mStore, SmallBundleText("three"), 3);
  fleet.Run(kMaxTimeToInForce);
  CHECK(fleet.CountAtGeneration(3) == 2);
  CHECK(fleet.CountNeedingConfirmation() == 0);
}

TEST_CASE("peer messages read back as they were written")
{
  PeerPartsRequest request{ 7, InstanceId("b"), 3, { "h1", "h2" } };
  const auto readRequest = ReadPartsRequest(WritePartsRequest(request));
  REQUIRE(readRequest);
  CHECK(readRequest->mId == 7);
  CHECK(readRequest->mHashes == request.mHashes);
  PeerPartsAnswer answer{ 7, { InstanceId("b"), 4, 12ms }, "head", { { "n", "h", "text\n" } } };
  const auto readAnswer = ReadPartsAnswer(WritePartsAnswer(answer));
  REQUIRE(readAnswer);
  CHECK(readAnswer->mHead.mConfirmedAge == 12ms);
  CHECK(readAnswer->mParts[0].mText == "text\n");
  answer.mHead.mConfirmedAge.reset();
  CHECK_FALSE(ReadPartsAnswer(WritePartsAnswer(answer))->mHead.mConfirmedAge);
  CHECK_FALSE(ReadPartsAnswer("{}"));
  CHECK_FALSE(ReadPartsRequest("[1]"));
}
