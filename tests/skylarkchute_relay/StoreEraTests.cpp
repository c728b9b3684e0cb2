#include "../skylarkchute_peers/FleetSimulation.h"

#include <catch2/catch.hpp>
#include <skylarkchute_peers/following/ChangeSpread.h>
#include <skylarkchute_relay/peers/ConfigExchange.h>

#include <algorithm>

using namespace skylarkchute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto kKind = ObjectKind::Config;
constexpr std::size_t kMaxRequestBytes = 2048;
constexpr std::size_t kNoLimit = 1000000;

/** Shortest bound of the deployments for a configuration to be in force, and that of fleets of some
    size. */
constexpr milliseconds kSmallApplyTime{ 2000 };
constexpr milliseconds kLargeApplyTime{ 4000 };
constexpr std::size_t kLargeFleet = 50;

/** Most calls a second of the whole fleet while the store is away. */
constexpr std::size_t kMaxCallsPerSecond = 8;

/** Most lists of the fleet for a state of the store: those of the followers, and of vacant places
    that were filled twice. */
constexpr std::size_t kMaxLists = 8;

/** A store with one configuration, which can be restored from a copy. */
struct EraStore
{
  StoreVersion mState = MakeStoreVersion(1, 1);
  std::uint64_t mVersion = 0;

  void Write(std::uint64_t aVersion)
  {
    ++mState;
    mVersion = aVersion;
  }

  void Restore(const EraStore& aCopy)
  {
    mState = MakeStoreVersion(EraOf(mState) + 1, RevisionOf(aCopy.mState));
    mVersion = aCopy.mVersion;
  }

  KindSnapshot List() const
  {
    const auto text = R"({"Metadata":{"Name":"main","Revision":)" +
                      std::to_string(RevisionOf(mState)) + R"(},"Spec":{"Version":)" +
                      std::to_string(mVersion) + R"(,"Routes":[]}})";
    return { mState, { { "main", mState, false, text } } };
  }
};

/** What one instance knows of the store. */
struct EraNode
{
  EraNode(const std::string& aName, const std::string& aZone, EndpointPool& aPool, EventLog& aLog)
    : mRouter(IncarnationId(aName), ZoneName(aZone), {}, 1)
    , mSync(mRouter, aPool, aLog)
    , mSpread(aZone, StableHash(aName))
  {
  }

  FleetRouter mRouter;
  FleetSync mSync;
  StoreMirror mMirror{ [this](ObjectKind aKind, const StoreObject& aObject) {
    mSync.OnObject(aKind, aObject);
  } };
  MirrorExchange mMirrorExchange{ mMirror };
  ConfigExchange mConfigExchange{ mSync, mMirror };
  ChangeSpread mSpread;
  std::map<std::size_t, KnownKinds> mKnown; /**< By instance. */
  StoreVersion mListed = 0;
  std::uint64_t mHighest = 0; /**< Highest version that was in force in this process. */
};

/** Instances that follow a store, and pass on the configuration, with faults by seed. */
class EraFleet final : public SimulatedContent
{
public:
  EraFleet(std::size_t aSize, std::uint64_t aSeed) : mNodes(aSize), mFleet(aSize, 3, aSeed)
  {
    mFleet.SetContent(*this);
    mFleet.EnableFollowing();
    mFleet.SetLoss(0.01);
  }

  void OnStart(std::size_t aIndex) override
  {
    mNodes[aIndex] = std::make_unique<EraNode>(
      "i" + std::to_string(aIndex), "z" + std::to_string(aIndex % 3), mPool, mLog);
  }

  void OnTick(std::size_t aIndex, bool aIsServed) override
  {
    auto& node = *mNodes[aIndex];
    if (!aIsServed || node.mListed == mStore.mState) {
      return;
    }
    ++mLists;
    node.mListed = mStore.mState;
    const auto list = mStore.List();
    node.mMirror.Replace(kKind, list, mFleet.Now());
    OnApplied(aIndex, ChangeSpread::Source::Store);
    // The same answer once more, late.
    mFleet.At(seconds(3), [this, aIndex, list] {
      if (mFleet.IsActive(aIndex)) {
        mNodes[aIndex]->mMirror.Replace(kKind, list, mFleet.Now());
        OnApplied(aIndex, ChangeSpread::Source::Store);
      }
    });
  }

  std::string Request(std::size_t aFrom, std::size_t aTo) override
  {
    const auto& known = mNodes[aFrom]->mKnown;
    const auto found = known.find(aTo);
    return MessageOf(aFrom, found == known.end() ? nullptr : &found->second, kMaxRequestBytes);
  }

  std::string Serve(std::size_t aTo, std::size_t aFrom, const std::string& aText) override
  {
    OnAnswer(aTo, aFrom, aText);
    return MessageOf(aTo, &mNodes[aTo]->mKnown[aFrom], kNoLimit);
  }

  void OnAnswer(std::size_t aTo, std::size_t aFrom, const std::string& aText) override
  {
    auto& node = *mNodes[aTo];
    const auto exchange = DecodeExchange(aText);
    if (!exchange) {
      ++mUnread;
      return;
    }
    node.mKnown[aFrom] = exchange->mKinds;
    node.mMirrorExchange.Apply(*exchange, ListOrigin::Normal, mFleet.Now());
    node.mConfigExchange.Apply(*exchange);
    OnApplied(aTo, ChangeSpread::Source::Instance);
    const auto& kinds = exchange->mKinds;
    if (node.mMirrorExchange.IsBehind(kinds) || node.mConfigExchange.IsBehind(kinds)) {
      mFleet.Tell(aTo, aFrom);
    }
  }

  /** Returns how many active instances do not have a version in force. */
  std::size_t Without(std::uint64_t aVersion) const
  {
    std::size_t count = 0;
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      count += mFleet.IsActive(n) && mNodes[n]->mSync.ConfigVersion() != aVersion ? 1 : 0;
    }
    return count;
  }

  /** Returns the calls to the store: lists, and those by which instances begin to follow it. */
  std::size_t Calls() const { return mLists + mFleet.StoreCalls(); }

  std::vector<std::unique_ptr<EraNode>> mNodes;
  FleetSimulation mFleet;
  EraStore mStore;
  std::size_t mLists = 0;
  std::size_t mUnread = 0;      /**< Messages that could not be decoded. */
  std::size_t mRegressions = 0; /**< How often a process put an older version in force. */

private:
  std::string MessageOf(std::size_t aFrom, const KnownKinds* aKnown, std::size_t aMaxBytes)
  {
    auto& node = *mNodes[aFrom];
    PeerExchange exchange;
    exchange.mMembership.mFrom.mRecord.mName = "i" + std::to_string(aFrom);
    node.mMirrorExchange.Fill(exchange, aKnown, aMaxBytes);
    node.mConfigExchange.Fill(exchange, aKnown, aMaxBytes);
    return EncodeExchange(exchange);
  }

  void OnApplied(std::size_t aIndex, ChangeSpread::Source aSource)
  {
    auto& node = *mNodes[aIndex];
    const auto version = node.mSync.ConfigVersion();
    mRegressions += version < node.mHighest ? 1 : 0;
    node.mHighest = std::max(node.mHighest, version);
    if (node.mMirrorExchange.TakeChanged()) {
      const auto live = mFleet.Members(aIndex).LiveMembers();
      for (const auto& it : node.mSpread.Receivers(live, aSource)) {
        mFleet.Tell(aIndex, *mFleet.IndexOf(it));
      }
    }
  }

  boost::asio::io_context mLoop{ 1 };
  EndpointPool mPool{ mLoop };
  EventLog mLog{ "test", LogFormat::Text, EventLevel::Error };
};

/** What happens beside a restore of the store. */
struct Troubles
{
  bool mHasStarts = false;  /**< Instances start between the restore and the operator's writing. */
  bool mHasFreezes = false; /**< Instances are suspended from before the restore until after it. */
  bool mIsCut = false;      /**< The instances are cut in two until after the restore. */
  bool mServesHalf = false; /**< The store serves only half of them until all is over. */
  bool mIsTwice = false;    /**< The store is restored twice. */
};

/** Restores the store of a fleet from a copy that lacks the last version, and checks what is in
    force before and after the operator writes again. */
void CheckRestore(std::size_t aSize, const Troubles& aTroubles, std::uint64_t aSeed)
{
  const auto applyTime = aSize < kLargeFleet ? kSmallApplyTime : kLargeApplyTime;
  EraFleet fleet(aSize, aSeed);
  auto& simulation = fleet.mFleet;
  fleet.mStore.Write(4);
  simulation.Run(seconds(8));
  REQUIRE(fleet.Without(4) == 0);
  const auto copy = fleet.mStore;
  fleet.mStore.Write(5);
  simulation.Run(applyTime);
  REQUIRE(fleet.Without(5) == 0);
  const auto callsBefore = fleet.Calls();
  const auto some = aSize / 9;

  simulation.SetStoreServes([](std::size_t) { return false; });
  simulation.CutBelow(aTroubles.mIsCut ? aSize / 3 : 0);
  for (std::size_t n = some; n < 2 * some && aTroubles.mHasFreezes; ++n) {
    simulation.Freeze(n, true);
  }
  simulation.Run(seconds(1));
  fleet.mStore.Restore(copy);
  simulation.SetStoreServes(
    [&](std::size_t aIndex) { return !aTroubles.mServesHalf || aIndex >= aSize / 2; });
  simulation.Run(seconds(1));
  if (aTroubles.mIsTwice) {
    fleet.mStore.Restore(copy);
  }
  for (std::size_t n = 0; n < some && aTroubles.mHasStarts; ++n) {
    simulation.Kill(n);
    simulation.Start(n);
  }
  for (std::size_t n = some; n < 2 * some && aTroubles.mHasFreezes; ++n) {
    simulation.Freeze(n, false);
  }
  simulation.CutBelow(0);
  simulation.Run(applyTime);
  CHECK(fleet.Without(5) == 0);

  // The operator writes again what the copy lacks, and a new version.
  fleet.mStore.Write(5);
  simulation.Run(milliseconds(500));
  fleet.mStore.Write(6);
  simulation.Run(applyTime);
  CHECK(fleet.Without(6) == 0);
  CHECK(fleet.mRegressions == 0);
  CHECK(fleet.mUnread == 0);
  const std::size_t states = aTroubles.mIsTwice ? 4 : 3;
  const auto time = std::chrono::ceil<seconds>(seconds(3) + 2 * applyTime);
  CHECK(fleet.Calls() - callsBefore <=
        states * kMaxLists + static_cast<std::size_t>(time.count()) * kMaxCallsPerSecond);
}

} // namespace

TEST_CASE("after the store was restored all instances have the operator's last configuration")
{
  const auto size = GENERATE(std::size_t{ 9 }, std::size_t{ 71 });
  const auto troubles = GENERATE(Troubles{},
                                 Troubles{ .mHasStarts = true },
                                 Troubles{ .mHasFreezes = true },
                                 Troubles{ .mIsCut = true },
                                 Troubles{ .mServesHalf = true },
                                 Troubles{ .mIsTwice = true },
                                 Troubles{ true, true, true, true, true });
  CheckRestore(size, troubles, 21);
}

TEST_CASE("after the store was restored a large fleet has the operator's last configuration")
{
  CheckRestore(295, { true, true, true, true, true }, 22);
}
