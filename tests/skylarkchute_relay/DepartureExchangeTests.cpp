#include <catch2/catch.hpp>
#include <skylarkchute_relay/peers/DepartureExchange.h>

using namespace skylarkchute;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };
constexpr std::size_t kNoLimit = 100000;

FleetEndpoint MakeEndpoint(std::uint64_t aStart, std::uint64_t aEra, std::uint64_t aRevision)
{
  FleetEndpoint entry;
  entry.mId = EndpointId("e1");
  entry.mService = ServiceName("svc");
  entry.mAddress = "10.0.0.1:1";
  entry.mSlots = 4;
  entry.mIncarnationStart = aStart;
  entry.mEra = aEra;
  entry.mRevision = aRevision;
  return entry;
}

/** The endpoints of an instance, and what it exchanges with others. */
struct DepartureFixture
{
  FleetTable mTable;
  DepartureExchange mExchange{ mTable };

  PeerExchange MessageFor(const KnownKinds* aKnown, std::size_t aMaxBytes = kNoLimit)
  {
    PeerExchange exchange;
    exchange.mMembership.mFrom.mRecord = { "i1", "i1~1", "10.0.0.1:7", "a" };
    exchange.mKinds[ObjectKind::Endpoints] = { 10, 11 };
    mExchange.Fill(exchange, aKnown, aMaxBytes, kNow);
    return *DecodeExchange(EncodeExchange(exchange));
  }

  std::size_t Ask(DepartureFixture& aOther)
  {
    const auto known = MessageFor(nullptr).mKinds;
    return mExchange.Apply(aOther.MessageFor(&known), kNow).size();
  }

  bool IsOpen() { return !mTable.OpenRows(ServiceName("svc")).empty(); }

  void SayLeaving() { mTable.Find(EndpointId("e1"))->mNotices.OnNotice({ true }, kNow); }
};

} // namespace

TEST_CASE("an endpoint that says that it leaves gets nothing from the other instances either")
{
  DepartureFixture told;
  DepartureFixture other;
  DepartureFixture next;
  for (auto* it : { &told, &other, &next }) {
    it->mTable.Upsert(MakeEndpoint(7, 1, 5));
  }
  CHECK(other.Ask(told) == 0);
  told.SayLeaving();
  CHECK(other.Ask(told) == 1);
  CHECK_FALSE(other.IsOpen());
  CHECK(next.Ask(other) == 1);
  CHECK_FALSE(next.IsOpen());
  // All know it now; nothing more is sent.
  const auto known = next.MessageFor(nullptr).mKinds;
  CHECK(told.MessageFor(&known).mDepartures.empty());
  // Its entry changes; it starts again.
  next.mTable.Upsert(MakeEndpoint(7, 1, 9));
  CHECK_FALSE(next.IsOpen());
  next.mTable.Upsert(MakeEndpoint(8, 1, 10));
  CHECK(next.IsOpen());
  CHECK(next.Ask(told) == 0);
  CHECK(next.IsOpen());
}

TEST_CASE("a departure of an earlier start does not close an endpoint that has started again")
{
  DepartureFixture told;
  DepartureFixture other;
  told.mTable.Upsert(MakeEndpoint(7, 1, 5));
  told.SayLeaving();
  other.mTable.Upsert(MakeEndpoint(8, 1, 6));
  CHECK(other.Ask(told) == 0);
  CHECK(other.IsOpen());
}

TEST_CASE("an instance that starts from a copy of the store learns which endpoints have left")
{
  DepartureFixture old;
  DepartureFixture starting;
  old.mTable.Upsert(MakeEndpoint(7, 1, 5));
  SECTION("its entry was removed")
  {
    old.mTable.Remove(EndpointId("e1"), false, kNow);
  }
  SECTION("it was draining")
  {
    auto draining = MakeEndpoint(7, 1, 6);
    draining.mDraining = true;
    old.mTable.Upsert(draining);
  }
  // Without a restored store, the store's entries say so to everybody.
  const KnownKinds nothing;
  CHECK(old.MessageFor(&nothing).mDepartures.empty());
  old.mTable.Upsert(MakeEndpoint(7, 2, 5));
  starting.mTable.Upsert(MakeEndpoint(7, 2, 5));
  CHECK_FALSE(old.IsOpen());
  CHECK(starting.IsOpen());
  CHECK(starting.Ask(old) == 1);
  CHECK_FALSE(starting.IsOpen());
  // One that has no entry yet.
  DepartureFixture late;
  late.Ask(starting);
  late.mTable.Upsert(MakeEndpoint(7, 2, 5));
  CHECK_FALSE(late.IsOpen());
  starting.mTable.Upsert(MakeEndpoint(8, 2, 9));
  CHECK(starting.IsOpen());
}

TEST_CASE("departures are forgotten once the store has removed the entries of a copy")
{
  DepartureFixture fixture;
  fixture.mTable.Upsert(MakeEndpoint(7, 1, 5));
  fixture.mTable.Remove(EndpointId("e1"), false, kNow);
  fixture.mTable.Upsert(MakeEndpoint(7, 2, 5));
  CHECK_FALSE(fixture.IsOpen());
  CHECK(fixture.mTable.Departures(kNow).size() == 1);
  fixture.mTable.DropExpired(kNow + EndpointDepartures::kLifetime);
  CHECK(fixture.mTable.Departures(kNow).empty());
  CHECK(fixture.IsOpen());
}

TEST_CASE("departures that exceed the limit are left out, and entries that are not valid skipped")
{
  DepartureFixture fixture;
  fixture.mTable.Upsert(MakeEndpoint(7, 1, 5));
  fixture.SayLeaving();
  const KnownKinds nothing;
  CHECK(fixture.MessageFor(&nothing, 10).mDepartures.empty());
  auto text = EncodeExchange(fixture.MessageFor(&nothing));
  const std::string departure = R"(["e1",7,true,1,5,0])";
  REQUIRE(text.find(departure) != std::string::npos);
  text.replace(text.find(departure), departure.size(), R"(["e1",7,true],7,["e1",-7,true,1,5,0])");
  CHECK(DecodeExchange(text)->mDepartures.empty());
}
