#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/peers/ConfigExchange.h>

using namespace skylarkchute;

namespace {

constexpr auto kKind = ObjectKind::Config;
constexpr TimePoint kNow{ std::chrono::hours(1) };
constexpr std::size_t kNoLimit = 1000000;

/** Returns the configuration as the store holds it. */
StoreObject MakeConfig(std::uint64_t aVersion, StoreVersion aRevision, std::size_t aBytes = 0)
{
  return { "main",
           aRevision,
           false,
           R"({"Metadata":{"Name":"main","Revision":)" + std::to_string(RevisionOf(aRevision)) +
             R"(},"Spec":{"Version":)" + std::to_string(aVersion) + R"(,"Routes":[],"Note":")" +
             std::string(aBytes, 'x') + R"("}})" };
}

/** What an instance knows of the store, and what it exchanges with others. */
struct ConfigFixture
{
  RelayFixture mRelay;
  FleetSync mSync{ mRelay.mRouter, mRelay.mPool, mRelay.mLog };
  StoreMirror mMirror{ [this](ObjectKind aKind, const StoreObject& aObject) {
    mSync.OnObject(aKind, aObject);
  } };
  MirrorExchange mMirrorExchange{ mMirror };
  ConfigExchange mConfigExchange{ mSync, mMirror };

  void List(std::uint64_t aEra, std::uint64_t aRevision, std::uint64_t aVersion)
  {
    const auto asOf = MakeStoreVersion(aEra, aRevision);
    mMirror.Replace(kKind, { asOf, { MakeConfig(aVersion, asOf) } }, kNow);
  }

  PeerExchange MessageFor(const KnownKinds* aKnown, std::size_t aMaxBytes)
  {
    PeerExchange exchange;
    exchange.mMembership.mFrom.mRecord = { "i1", "i1~1", "10.0.0.1:7", "a" };
    mMirrorExchange.Fill(exchange, aKnown, aMaxBytes);
    mConfigExchange.Fill(exchange, aKnown, aMaxBytes);
    return *DecodeExchange(EncodeExchange(exchange));
  }

  void Receive(const PeerExchange& aExchange)
  {
    mMirrorExchange.Apply(aExchange, ListOrigin::Normal, kNow);
    mConfigExchange.Apply(aExchange);
  }

  /** Asks another instance for what this one lacks. */
  void Ask(ConfigFixture& aOther)
  {
    const auto known = MessageFor(nullptr, kNoLimit).mKinds;
    Receive(aOther.MessageFor(&known, kNoLimit));
  }
};

} // namespace

TEST_CASE("an instance that starts from a store's older copy gets the newer configuration in force")
{
  ConfigFixture old;
  ConfigFixture starting;
  old.List(1, 30, 5);
  old.List(2, 20, 4);
  CHECK(old.mSync.ConfigVersion() == 5);
  starting.List(2, 20, 4);
  CHECK(starting.mSync.ConfigVersion() == 4);
  CHECK(starting.mConfigExchange.IsBehind(old.MessageFor(nullptr, kNoLimit).mKinds));
  starting.Ask(old);
  CHECK(starting.mSync.ConfigVersion() == 5);
  // It passes on what it was told.
  ConfigFixture next;
  next.Ask(starting);
  CHECK(next.mSync.ConfigVersion() == 5);
  // The operator writes again, and then a newer version.
  starting.List(2, 30, 5);
  next.Ask(starting);
  CHECK(next.mMirror.Find(kKind, "main")->mRevision == MakeStoreVersion(2, 30));
  starting.List(2, 31, 6);
  next.Ask(starting);
  CHECK(next.mSync.ConfigVersion() == 6);
}

TEST_CASE("an instance that still knows the earlier era passes on the newer configuration")
{
  ConfigFixture old;
  ConfigFixture starting;
  old.List(1, 30, 5);
  starting.List(2, 20, 4);
  starting.Ask(old);
  CHECK(starting.mSync.ConfigVersion() == 5);
  CHECK(starting.mMirror.Era() == 2);
  old.Ask(starting);
  CHECK(old.mSync.ConfigVersion() == 5);
  CHECK(old.mMirror.Era() == 2);
}

TEST_CASE("the configuration in force is passed on by itself only when the objects don't bring it")
{
  ConfigFixture from;
  ConfigFixture to;
  from.List(1, 30, 5);
  const KnownKinds nothing;
  CHECK(from.MessageFor(&nothing, kNoLimit).mConfigInForce == nullptr);
  to.List(1, 20, 4);
  auto known = to.MessageFor(nullptr, kNoLimit).mKinds;
  CHECK(from.MessageFor(&known, kNoLimit).mConfigInForce == nullptr);
  to.Ask(from);
  CHECK(to.mSync.ConfigVersion() == 5);
  // The store has lost version 5; an instance that has it in force is sent nothing.
  from.List(2, 20, 4);
  known = to.MessageFor(nullptr, kNoLimit).mKinds;
  CHECK(from.MessageFor(&known, kNoLimit).mConfigInForce == nullptr);
  CHECK(from.MessageFor(nullptr, kNoLimit).mConfigInForce == nullptr);
}

TEST_CASE("a configuration in force that is too large or not valid is not put in force")
{
  ConfigFixture from;
  ConfigFixture to;
  const auto asOf = MakeStoreVersion(1, 30);
  from.mMirror.Replace(kKind, { asOf, { MakeConfig(5, asOf, 3000) } }, kNow);
  from.List(2, 20, 4);
  to.List(2, 20, 4);
  const auto known = to.MessageFor(nullptr, kNoLimit).mKinds;
  CHECK(from.MessageFor(&known, 2048).mConfigInForce == nullptr);
  auto broken = from.MessageFor(&known, kNoLimit);
  broken.mConfigInForce =
    std::make_shared<const PackedChanges>(PackedChanges{ 0, asOf, true, false, "][" });
  to.Receive(broken);
  CHECK(to.mSync.ConfigVersion() == 4);
  // An older one than that in force, under a false version.
  broken.mConfigInForce =
    std::make_shared<const PackedChanges>(PackSnapshot({ asOf, { MakeConfig(3, asOf) } }));
  to.Receive(broken);
  CHECK(to.mSync.ConfigVersion() == 4);
}
