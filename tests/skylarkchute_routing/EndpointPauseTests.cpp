#include <catch2/catch.hpp>
#include <skylarkchute_routing/fleet/Fleet.h>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

FleetEndpoint Endpoint()
{
  FleetEndpoint endpoint;
  endpoint.mId = EndpointId("e1");
  endpoint.mService = ServiceName("svc");
  endpoint.mAddress = "10.0.0.1:80";
  endpoint.mIncarnationStart = 7;
  endpoint.mSlots = 8;
  return endpoint;
}

/** Returns a table with an endpoint that asked for a pause of 3 s at kStart. */
FleetTable TableWithPause()
{
  FleetTable table;
  table.Upsert(Endpoint());
  EndpointNotice notice;
  notice.mPauseSeconds = 3;
  table.Find(EndpointId("e1"))->mNotices.OnNotice(notice, kStart);
  return table;
}

bool Allows(FleetTable& aTable, milliseconds aAge)
{
  return aTable.Find(EndpointId("e1"))->mNotices.Allows(kStart + aAge);
}

} // namespace

TEST_CASE("an endpoint whose entry is lost and comes back still pauses")
{
  auto table = TableWithPause();
  SECTION("the entry was removed")
  {
    table.Remove(EndpointId("e1"), false, kStart + milliseconds(500));
  }
  SECTION("the entry lapsed in an outage of the store")
  {
    table.Remove(EndpointId("e1"), true, kStart + milliseconds(100));
    CHECK(table.DropExpired(kStart + milliseconds(2450)).size() == 1);
  }
  auto entry = Endpoint();
  entry.mEra = 1;
  table.Upsert(entry);
  CHECK_FALSE(Allows(table, milliseconds(2500)));
  CHECK(Allows(table, milliseconds(3100)));
}

TEST_CASE("an endpoint that registers another address still pauses")
{
  auto table = TableWithPause();
  auto entry = Endpoint();
  entry.mAddress = "10.0.0.2:80";
  table.Upsert(entry);
  CHECK_FALSE(Allows(table, milliseconds(2500)));
}

TEST_CASE("the pause of an endpoint does not bind its next incarnation")
{
  auto table = TableWithPause();
  table.Remove(EndpointId("e1"), false, kStart + milliseconds(500));
  auto entry = Endpoint();
  entry.mIncarnationStart = 8;
  table.Upsert(entry);
  CHECK(Allows(table, milliseconds(600)));
}
