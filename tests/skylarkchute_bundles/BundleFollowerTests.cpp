#include "FollowerFleet.h"
#include "support/BundleTexts.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

/** What the tests of this file allow an accepted bundle until it is in force. */
constexpr auto kInForceBound = 5s;

} // namespace

TEST_CASE("an accepted bundle is in force on every instance within its bound")
{
  FollowerFleet fleet(9, 3);
  fleet.StartAll();
  fleet.Run(1s);
  CHECK(fleet.CountAt(0) == 9);
  CHECK(fleet.CountInNeed() == 9);
  PutInForce(fleet.mStore, SmallBundleText("one"), 1);
  fleet.Run(kInForceBound);
  CHECK(fleet.CountAt(1) == 9);
  PutInForce(fleet.mStore, SmallBundleText("two"), 2);
  fleet.Run(kInForceBound);
  CHECK(fleet.CountAt(2) == 9);
  CHECK(fleet.mNodes[4].mFollower->Current()->mTitle == "two");
  CHECK(fleet.CountInNeed() == 0);
}

TEST_CASE("an instance never goes down in generation when the platform shows an older head")
{
  FollowerFleet fleet(3, 3);
  PutInForce(fleet.mStore, SmallBundleText("old"), 4);
  const auto oldHead = fleet.mStore.Body(std::string(kHeadKey));
  PutInForce(fleet.mStore, SmallBundleText("new"), 5);
  fleet.StartAll();
  fleet.Run(2s);
  REQUIRE(fleet.CountAt(5) == 3);
  fleet.mStore.SetOutage(true);
  fleet.Run(20s);
  fleet.mStore.Overwrite(std::string(kHeadKey), oldHead);
  fleet.mStore.SetOutage(false);
  fleet.Run(20s);
  CHECK(fleet.CountAt(5) == 3);
  CHECK(fleet.CountEvents(0, kHeadBehind) == 1);
  CHECK(fleet.CountInNeed() == 0);
  fleet.mStore.Remove(std::string(kHeadKey));
  fleet.mStore.SetOutage(true);
  fleet.Run(1s);
  fleet.mStore.SetOutage(false);
  fleet.Run(20s);
  CHECK(fleet.CountAt(5) == 3);
}

TEST_CASE("an instance never takes an older head from a peer")
{
  FollowerOptions options;
  options.mSelf = InstanceId("a");
  BundleFollower follower(options);
  follower.ApplyFleet({ { InstanceId("a"), ZoneName("z") }, { InstanceId("b"), ZoneName("z") } });
  ManualClock clock;
  FakeObjectStore store;
  PutInForce(store, SmallBundleText("new"), 5);
  auto output = follower.Start(clock.Now());
  for (int n = 0; n < 8 && follower.CurrentGeneration() == 0; ++n) {
    for (const auto& it : std::exchange(output.mPeerRequests, {})) {
      output = follower.OnPeerFailure(it.mId, clock.Now());
    }
    for (const auto& it : std::exchange(output.mCalls, {})) {
      auto next = follower.OnReply(store.Call(it), clock.Now());
      output.mCalls.insert(output.mCalls.end(), next.mCalls.begin(), next.mCalls.end());
    }
    clock.Advance(1s);
    auto ticked = follower.Tick(clock.Now());
    output.mCalls.insert(output.mCalls.end(), ticked.mCalls.begin(), ticked.mCalls.end());
    output.mPeerRequests = ticked.mPeerRequests;
  }
  REQUIRE(follower.CurrentGeneration() == 5);
  PeerPartsAnswer answer;
  answer.mHead = { InstanceId("b"), 4, 0ms };
  answer.mHeadJson = WriteHead(HeadOf(SmallBundleText("old"), 4));
  for (std::uint64_t id = 0; id < 100; ++id) {
    answer.mId = id;
    CHECK_FALSE(follower.OnPeerCopy(answer, clock.Now()).mBundleChanged);
  }
  follower.OnPeerHead(answer.mHead, clock.Now());
  CHECK(follower.CurrentGeneration() == 5);
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
  fleet.Run(kInForceBound);
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
  fleet.mTamper = [&](PeerPartsAnswer& aAnswer) {
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
  fleet.mTamper = nullptr;
  fleet.Run(30s);
  CHECK(fleet.CountAt(3) == 4);
}

TEST_CASE("a damaged part of a peer is fetched from the platform instead")
{
  FollowerFleet fleet(4, 1);
  PutInForce(fleet.mStore, SmallBundleText(), 3);
  fleet.mTamper = [](PeerPartsAnswer& aAnswer) {
    for (auto& it : aAnswer.mParts) {
      it.mText += "\n";
    }
  };
  fleet.StartAll();
  fleet.Run(kInForceBound);
  CHECK(fleet.CountAt(3) == 4);
}

TEST_CASE("an instance that lost only the store follows through its peers")
{
  FollowerFleet fleet(6, 3);
  PutInForce(fleet.mStore, SmallBundleText("one"), 1);
  fleet.StartAll();
  fleet.Run(2s);
  fleet.mNodes[0].mStoreCut = true;
  fleet.Run(30s);
  CHECK_FALSE(fleet.mNodes[0].mFollower->NeedsConfirmation(fleet.mClock.Now()));
  PutInForce(fleet.mStore, SmallBundleText("two"), 2);
  fleet.Run(13s);
  CHECK(fleet.CountAt(2) == 6);
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
    REQUIRE(fleet.CountInNeed() == 0);
  }
}

TEST_CASE("a region that is cut off needs confirmation, the other does not")
{
  FollowerFleet fleet(8, 4);
  PutInForce(fleet.mStore, SmallBundleText("one"), 1);
  fleet.StartAll();
  fleet.Run(2s);
  const auto isAway = [&](std::size_t aNode) {
    return fleet.mNodes[aNode].mZone.Value() >= "zone-2";
  };
  fleet.mIsCut = [&](std::size_t aFrom, std::size_t aTo) { return isAway(aFrom) != isAway(aTo); };
  for (std::size_t n = 0; n < fleet.mNodes.size(); ++n) {
    fleet.mNodes[n].mStoreCut = isAway(n);
  }
  PutInForce(fleet.mStore, SmallBundleText("two"), 2);
  fleet.Run(13s);
  for (std::size_t n = 0; n < fleet.mNodes.size(); ++n) {
    const auto& follower = *fleet.mNodes[n].mFollower;
    CHECK(follower.NeedsConfirmation(fleet.mClock.Now()) == isAway(n));
    CHECK(follower.CurrentGeneration() == (isAway(n) ? 1 : 2));
  }
  fleet.mIsCut = nullptr;
  for (auto& it : fleet.mNodes) {
    it.mStoreCut = false;
  }
  fleet.Run(6s);
  CHECK(fleet.CountAt(2) == 8);
  CHECK(fleet.CountInNeed() == 0);
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
  // A notice that waited in a buffer since before the second generation does not confirm.
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

TEST_CASE("a generation that a peer told of is not excused by an outage")
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
  head.mBundle = IdentifyBundle(head.mParts);
  fleet.mStore.Overwrite(PartKey(head.mParts[0].mHash), text);
  fleet.mStore.Overwrite(std::string(kHeadKey), WriteHead(head));
  fleet.Run(15s);
  CHECK(fleet.CountAt(1) == 2);
  CHECK(fleet.CountEvents(0, kBundleRefused) == 1);
  CHECK(fleet.CountInNeed() == 2);
  PutInForce(fleet.mStore, SmallBundleText("three"), 3);
  fleet.Run(kInForceBound);
  CHECK(fleet.CountAt(3) == 2);
  CHECK(fleet.CountInNeed() == 0);
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
