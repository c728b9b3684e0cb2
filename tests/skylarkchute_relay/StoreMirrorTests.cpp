#include <catch2/catch.hpp>
#include <skylarkchute_relay/peers/MirrorExchange.h>

using namespace skylarkchute;

namespace {

constexpr auto kKind = ObjectKind::Endpoints;
constexpr TimePoint kNow{ std::chrono::hours(1) };

StoreObject MakeObject(const std::string& aName, std::uint64_t aRevision, std::size_t aBytes = 0)
{
  return { aName,
           aRevision,
           false,
           R"({"Metadata":{"Name":")" + aName + R"(","Revision":)" + std::to_string(aRevision) +
             R"(},"Spec":{"Note":")" + std::string(aBytes, 'x') + R"("}})" };
}

/** A mirror that records the objects it reports. */
struct MirrorFixture
{
  std::vector<StoreObject> mReported;
  StoreMirror mMirror{ [this](ObjectKind, const StoreObject& aObject) {
    mReported.push_back(aObject);
  } };
};

/** Passes what the receiver lacks from one mirror to another, as two instances do. */
void PassChanges(const StoreMirror& aFrom, StoreMirror& aTo)
{
  const auto changes = aFrom.ChangesSince(kKind, aTo.AsOf(kKind));
  if (!changes) {
    const auto packed = PackSnapshot(aFrom.Snapshot(kKind));
    aTo.Replace(kKind, { packed.mAsOf, *UnpackObjects(packed) }, kNow);
    return;
  }
  const auto packed = PackChanges(*changes);
  REQUIRE(
    aTo.Apply(kKind, KindChanges{ packed.mSince, packed.mAsOf, *UnpackObjects(packed) }, kNow));
}

} // namespace

TEST_CASE("an instance that is behind gets only the changes since its revision")
{
  MirrorFixture from;
  MirrorFixture to;
  from.mMirror.Replace(
    kKind, { 10, { MakeObject("a", 3), MakeObject("b", 5), MakeObject("c", 7) } }, kNow);
  PassChanges(from.mMirror, to.mMirror);
  StorePage page;
  page.mAsOf = 14;
  page.mObjects = { MakeObject("b", 12), { "c", 7, true, "" }, MakeObject("d", 14) };
  from.mMirror.Apply(kKind, page, kNow);
  CHECK(from.mMirror.ChangesSince(kKind, to.mMirror.AsOf(kKind))->mObjects.size() == 3);
  PassChanges(from.mMirror, to.mMirror);
  CHECK(to.mMirror.AsOf(kKind) == 14);
  CHECK(to.mMirror.Digest(kKind) == from.mMirror.Digest(kKind));
  CHECK(to.mMirror.Find(kKind, "c") == nullptr);
  CHECK(to.mReported.size() == 6);
}

TEST_CASE("an entry that may have lapsed in an outage stays marked when it is passed on")
{
  MirrorFixture from;
  MirrorFixture to;
  from.mMirror.Replace(kKind, { 10, { MakeObject("a", 3), MakeObject("b", 5) } }, kNow);
  PassChanges(from.mMirror, to.mMirror);
  from.mMirror.Replace(kKind, { 12, { MakeObject("a", 3) } }, kNow, ListOrigin::AfterOutage);
  PassChanges(from.mMirror, to.mMirror);
  REQUIRE(to.mReported.size() == 3);
  CHECK(to.mReported.back().mIsDeleted);
  CHECK(to.mReported.back().mMayHaveLapsed);
}

TEST_CASE("a watch that lags behind the peers does not bring back what was removed")
{
  MirrorFixture fixture;
  fixture.mMirror.Replace(kKind, { 10, {} }, kNow);
  fixture.mMirror.Apply(kKind, KindChanges{ 10, 14, { { "a", 13, true, "", false } } }, kNow);
  StorePage page;
  page.mAsOf = 12;
  page.mObjects = { MakeObject("a", 12) };
  fixture.mMirror.Apply(kKind, page, kNow);
  CHECK(fixture.mMirror.Find(kKind, "a") == nullptr);
  CHECK(fixture.mMirror.AsOf(kKind) == 14);
}

TEST_CASE("changes that start after the known revision are not applied")
{
  MirrorFixture fixture;
  fixture.mMirror.Replace(kKind, { 10, {} }, kNow);
  CHECK_FALSE(fixture.mMirror.Apply(kKind, KindChanges{ 11, 14, { MakeObject("a", 13) } }, kNow));
  CHECK(fixture.mMirror.AsOf(kKind) == 10);
  CHECK_FALSE(fixture.mMirror.ChangesSince(kKind, 9).has_value());
}

TEST_CASE("the removals kept for others are bounded; one that is further behind gets a snapshot")
{
  MirrorFixture from;
  MirrorFixture to;
  from.mMirror.Replace(kKind, { 1, {} }, kNow);
  PassChanges(from.mMirror, to.mMirror);
  for (std::uint64_t n = 2; n < 3000; n += 2) {
    StorePage page;
    page.mAsOf = n + 1;
    page.mObjects = { MakeObject("e" + std::to_string(n), n),
                      { "e" + std::to_string(n), n, true, "" } };
    from.mMirror.Apply(kKind, page, kNow);
  }
  CHECK_FALSE(from.mMirror.ChangesSince(kKind, 1).has_value());
  CHECK(from.mMirror.ChangesSince(kKind, 2900)->mObjects.size() <= 50);
  PassChanges(from.mMirror, to.mMirror);
  CHECK(to.mMirror.AsOf(kKind) == from.mMirror.AsOf(kKind));
}

TEST_CASE("large changes are compressed, and text that is not valid is refused")
{
  const auto packed = PackSnapshot({ 10, { MakeObject("a", 3, 200000) } });
  CHECK(packed.mIsDeflated);
  CHECK(packed.mText.size() < 10000);
  const auto objects = UnpackObjects(packed);
  REQUIRE(objects.has_value());
  CHECK(objects->front().mText == MakeObject("a", 3, 200000).mText);
  auto broken = packed;
  broken.mText.resize(broken.mText.size() / 2);
  CHECK_FALSE(UnpackObjects(broken).has_value());
  broken.mText = "not compressed";
  CHECK_FALSE(UnpackObjects(broken).has_value());
  CHECK_FALSE(UnpackObjects({ 0, 1, true, false, "][" }).has_value());
}

TEST_CASE("an exchange survives its encoding")
{
  PeerExchange exchange;
  const MemberRecord record{ "i1", "i1~2", "10.0.0.1:7", "a" };
  exchange.mMembership = {
    { record, 4, MemberState::Alive, StoreRole::Follows },
    { { { "i2", "i2~1", "10.0.0.2:7", "b" }, 3, MemberState::Suspect, StoreRole::Fails } },
    std::uint64_t{ 1 } << 63U,
    true
  };
  exchange.mConfirmationAge = std::chrono::milliseconds(120);
  exchange.mProbe = "i3";
  exchange.mReached = { "i4" };
  exchange.mKinds[kKind] = { 10, 11 };
  exchange.mChanges[kKind] = std::make_shared<const PackedChanges>(
    PackedChanges{ 9, 10, false, false, R"([["e1",10,true]])" });
  RolloutEvidence evidence;
  evidence.mSum = { { 40, 3, 2 }, { 9, 4, 1 } };
  evidence.mClasses[RouteClass{ 4294967295U }] = { { 30, 2, 1 }, { 8, 4, 0 } };
  evidence.mClasses[RouteClass{ 5 }] = { { 10, 1, 1 }, { 1, 0, 1 } };
  exchange.mEvidence = { evidence };
  const auto read = DecodeExchange(EncodeExchange(exchange));
  REQUIRE(read.has_value());
  REQUIRE(read->mEvidence.size() == 1);
  CHECK(read->mEvidence[0].mSum == evidence.mSum);
  CHECK(read->mEvidence[0].mClasses == evidence.mClasses);
  CHECK(read->mMembership.mFrom.mRecord.mIncarnation == "i1~2");
  CHECK(read->mMembership.mFrom.mRole == StoreRole::Follows);
  CHECK(read->mMembership.mDigest == exchange.mMembership.mDigest);
  CHECK(read->mMembership.mWantsAll);
  REQUIRE(read->mMembership.mUpdates.size() == 1);
  CHECK(read->mMembership.mUpdates[0].mState == MemberState::Suspect);
  CHECK(read->mConfirmationAge == exchange.mConfirmationAge);
  CHECK(read->mProbe == "i3");
  CHECK(read->mReached == exchange.mReached);
  CHECK(read->mKinds.at(kKind).mDigest == 11);
  CHECK(UnpackObjects(*read->mChanges.at(kKind))->front().mMayHaveLapsed);
  CHECK_FALSE(DecodeExchange(R"({"from":["i1","x","10.0.0.1:7","a",1,9,0]})").has_value());
  CHECK_FALSE(DecodeExchange(R"({"from":{"name":"i1"}})").has_value());
}

namespace {

/** Returns an object of an era, as a watcher passes it on. */
StoreObject InEra(std::uint64_t aEra, StoreObject aObject)
{
  aObject.mRevision = MakeStoreVersion(aEra, aObject.mRevision);
  return aObject;
}

} // namespace

TEST_CASE("objects of a store that was restored from a copy replace those with higher revisions")
{
  MirrorFixture fixture;
  auto& mirror = fixture.mMirror;
  mirror.Replace(
    kKind,
    { MakeStoreVersion(1, 30), { InEra(1, MakeObject("a", 20)), InEra(1, MakeObject("b", 30)) } },
    kNow);
  mirror.Replace(kKind,
                 { MakeStoreVersion(2, 25), { InEra(2, MakeObject("a", 20)) } },
                 kNow,
                 ListOrigin::Normal);
  CHECK(mirror.AsOf(kKind) == MakeStoreVersion(2, 25));
  CHECK(mirror.Find(kKind, "b") == nullptr);
  // What the copy lacks may be written again by its writer.
  CHECK(fixture.mReported.back().mName == "b");
  CHECK(fixture.mReported.back().mMayHaveLapsed);
  // A revision that was given out again.
  StorePage page;
  page.mAsOf = MakeStoreVersion(2, 30);
  page.mObjects = { InEra(2, MakeObject("a", 30)) };
  mirror.Apply(kKind, page, kNow);
  REQUIRE(mirror.Find(kKind, "a") != nullptr);
  CHECK(mirror.Find(kKind, "a")->mRevision == MakeStoreVersion(2, 30));
}

TEST_CASE("an answer of an earlier era changes nothing, however high its revisions")
{
  MirrorFixture fixture;
  auto& mirror = fixture.mMirror;
  mirror.Replace(kKind, { MakeStoreVersion(3, 10), { InEra(3, MakeObject("a", 9)) } }, kNow);
  mirror.Replace(kKind, { MakeStoreVersion(2, 900), {} }, kNow);
  StorePage page;
  page.mAsOf = MakeStoreVersion(2, 900);
  page.mObjects = { InEra(2, MakeObject("a", 900)) };
  mirror.Apply(kKind, page, kNow);
  mirror.Apply(kKind,
               KindChanges{ MakeStoreVersion(2, 1),
                            MakeStoreVersion(2, 900),
                            { { "a", MakeStoreVersion(2, 900), true, "" } } },
               kNow);
  REQUIRE(mirror.Find(kKind, "a") != nullptr);
  CHECK(mirror.Find(kKind, "a")->mRevision == MakeStoreVersion(3, 9));
  CHECK(mirror.AsOf(kKind) == MakeStoreVersion(3, 10));
}

TEST_CASE("instances of an earlier era get the new one whole from the others, twice in a row")
{
  MirrorFixture from;
  MirrorFixture to;
  MirrorExchange sender(from.mMirror);
  MirrorExchange receiver(to.mMirror);
  const auto exchange = [&] {
    PeerExchange told;
    KnownKinds known;
    if (to.mMirror.IsKnown(kKind)) {
      known[kKind] = { to.mMirror.AsOf(kKind), to.mMirror.Digest(kKind) };
    }
    sender.Fill(told, &known, 100000);
    receiver.Apply(*DecodeExchange(EncodeExchange(told)), ListOrigin::Normal, kNow);
  };
  for (std::uint64_t era = 1; era <= 3; ++era) {
    // The same object has the same revision in each era, with other content.
    from.mMirror.Replace(kKind,
                         { MakeStoreVersion(era, 40),
                           { InEra(era, MakeObject("a", 40, era)),
                             InEra(era, MakeObject("b" + std::to_string(era), 30)) } },
                         kNow);
    exchange();
    REQUIRE(to.mMirror.Find(kKind, "a") != nullptr);
    CHECK(to.mMirror.Find(kKind, "a")->mText == from.mMirror.Find(kKind, "a")->mText);
    CHECK(to.mMirror.Find(kKind, "b" + std::to_string(era)) != nullptr);
    CHECK(to.mMirror.Find(kKind, "b" + std::to_string(era - 1)) == nullptr);
    CHECK(to.mMirror.Digest(kKind) == from.mMirror.Digest(kKind));
    CHECK(to.mMirror.Era() == era);
  }
}

TEST_CASE("a configuration keeps the text with which another instance passes it on")
{
  // Guards against writing it anew: with 2,000 routes that is a third of the time for which the
  // event loop stands still.
  const std::string text = R"({ "Metadata": { "Name": "main", "Revision": 3 }, "Spec": {} })";
  const auto objects = UnpackObjects(PackSnapshot({ 10, { { "main", 3, false, text } } }));
  REQUIRE(objects);
  REQUIRE(objects->size() == 1);
  CHECK(objects->at(0).mText == text);
  CHECK(objects->at(0).mRevision == 3);
}

TEST_CASE("STARVED: an endpoint that returns under its id is not removed by its earlier removal")
{
  // Guards against endpoints that all instances lack for good: one answer holds the removal and the
  // creation, which is known from another instance already.
  StoreMirror mirror([](ObjectKind, const StoreObject&) {});
  mirror.Replace(kKind, { 10, { MakeObject("e", 5) } }, kNow);
  REQUIRE(mirror.Apply(kKind, KindChanges{ 10, 13, { MakeObject("e", 12) } }, kNow));
  StorePage page;
  page.mAsOf = 14;
  page.mObjects = { { "e", 11, true, "" }, MakeObject("e", 12) };
  mirror.Apply(kKind, page, kNow);
  CHECK(mirror.Find(kKind, "e") != nullptr);
}

TEST_CASE("EXPOSURE: requests are held until the rollouts are known, not only the endpoints")
{
  // Guards against an instance that serves between the lists of endpoints and rollouts: it took a
  // version on trial for the one in use.
  StoreMirror mirror([](ObjectKind, const StoreObject&) {});
  const TimePoint now{ std::chrono::hours(1) };
  const bool followsEvacuations = GENERATE(false, true);
  const auto followed = FollowedKinds(followsEvacuations);
  mirror.Replace(ObjectKind::Config, { 5, {} }, now);
  mirror.Replace(ObjectKind::Endpoints, { 5, {} }, now);
  CHECK_FALSE(IsRoutingStateKnown(mirror, followed));
  mirror.Replace(ObjectKind::Rollouts, { 5, {} }, now);
  CHECK(IsRoutingStateKnown(mirror, followed) == !followsEvacuations);
  mirror.Replace(ObjectKind::Evacuations, { 5, {} }, now);
  CHECK(IsRoutingStateKnown(mirror, followed));
}
