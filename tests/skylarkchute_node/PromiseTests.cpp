#include "NodeFleet.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

const FinalAnswer& OnlyAnswer(const NodeFleet& aFleet, const std::string& aRequest)
{
  const auto it = aFleet.Answers().find(aRequest);
  REQUIRE(it != aFleet.Answers().end());
  REQUIRE(it->second.size() == 1);
  return it->second.front();
}

} // namespace

TEST_CASE("a request is answered once, whole and billed once")
{
  NodeFleet fleet(1);
  const auto request = fleet.SendChat(0);
  fleet.Run(3s);
  const auto& answer = OnlyAnswer(fleet, request);
  CHECK(answer.mKind == "finish");
  CHECK(answer.mAttempt.rfind(request + ".", 0) == 0);
  const auto billed = fleet.StoredUsageRecords();
  REQUIRE(billed.size() == 1);
  CHECK(billed.front().mRequest.Value() == request);
  CHECK(billed.front().mCompletionTokens == 20);
  CHECK(billed.front().mPrice == Approx(0.03));
}

TEST_CASE("a team without permission runs nothing")
{
  NodeFleet fleet(2);
  auto text = NodeBundle();
  text.replace(text.find("models = note\n"), 14, "");
  fleet.PutBundle(text, 2);
  fleet.Run(5s);
  const auto request = fleet.SendChat(0);
  fleet.Run(3s);
  CHECK(OnlyAnswer(fleet, request).mVerdict == Verdict::NotRun);
  CHECK(fleet.Runs().empty());
}

TEST_CASE("a withdrawn version receives nothing new anywhere within five seconds")
{
  NodeFleet fleet(3);
  fleet.PutBundle(NodeBundle("withdrawn"), 2);
  fleet.Run(5s);
  for (int n = 0; n < 60; ++n) {
    fleet.SendChat(n % 3);
    fleet.Run(20ms);
  }
  fleet.Run(3s);
  CHECK(fleet.Runs().size() == 60);
  for (const auto& it : fleet.Runs()) {
    CHECK(it.mVersion == "note/1");
  }
}

TEST_CASE("a session keeps its version on every instance and ends when it is withdrawn")
{
  NodeFleet fleet(4);
  std::vector<std::string> requests;
  for (int n = 0; n < 30; ++n) {
    requests.push_back(fleet.SendChat(n % 3, "box-" + std::to_string(n / 6)));
    fleet.Run(30ms);
  }
  fleet.Run(3s);
  std::map<std::string, std::set<std::string>> versions;
  for (const auto& it : fleet.Runs()) {
    versions[it.mSession].insert(it.mVersion);
  }
  REQUIRE(versions.size() == 5);
  for (const auto& [session, used] : versions) {
    CHECK(used.size() == 1);
  }
  fleet.PutBundle(NodeBundle("withdrawn"), 2);
  fleet.Run(5s);
  for (const auto& [session, used] : versions) {
    const auto before = fleet.Runs().size();
    const auto request = fleet.SendChat(1, session);
    fleet.Run(1s);
    const auto& answer = OnlyAnswer(fleet, request);
    if (*used.begin() == "note/2") {
      CHECK(answer.mVerdict == Verdict::NotRun);
      CHECK(fleet.Runs().size() == before);
    } else {
      CHECK(fleet.Runs().back().mVersion == "note/1");
    }
  }
}

TEST_CASE("an order resent through every instance at once runs once and all get its answer")
{
  NodeFleet fleet(5);
  std::vector<std::string> requests;
  for (int n = 0; n < 9; ++n) {
    requests.push_back(fleet.SendOrder(n % 3, "order"));
  }
  fleet.Run(5s);
  CHECK(fleet.RunsOfKey("order") == 1);
  for (const auto& it : requests) {
    CHECK(OnlyAnswer(fleet, it).mVerdict == Verdict::Ran);
  }
}

TEST_CASE("an order without an idempotency key is refused before anything runs")
{
  NodeFleet fleet(14);
  const auto request = fleet.SendOrder(0, "");
  fleet.Run(2s);
  CHECK(OnlyAnswer(fleet, request).mReason == "idempotency-key-missing");
  CHECK(fleet.Runs().empty());
}

TEST_CASE("an order refused by the connection is told not-run and runs when it is sent again")
{
  NodeFleet fleet(6);
  fleet.RefuseNextConnections(10);
  const auto first = fleet.SendOrder(0, "order");
  fleet.Run(4s);
  CHECK(OnlyAnswer(fleet, first).mVerdict == Verdict::NotRun);
  CHECK(fleet.RunsOfKey("order") == 0);
  fleet.RefuseNextConnections(0);
  fleet.Run(15s);
  const auto second = fleet.SendOrder(1, "order");
  fleet.Run(4s);
  CHECK(OnlyAnswer(fleet, second).mVerdict == Verdict::Ran);
  CHECK(fleet.RunsOfKey("order") == 1);
}

TEST_CASE("an order whose endpoint broke off may have run and is never run again")
{
  NodeFleet fleet(7);
  fleet.BreakNextAttempts(1);
  const auto first = fleet.SendOrder(0, "order");
  fleet.Run(4s);
  CHECK(OnlyAnswer(fleet, first).mVerdict == Verdict::MayHaveRun);
  const auto second = fleet.SendOrder(2, "order");
  fleet.Run(4s);
  CHECK(OnlyAnswer(fleet, second).mVerdict == Verdict::MayHaveRun);
  CHECK(fleet.RunsOfKey("order") == 1);
}

TEST_CASE("an order gets a quick not-run while the store is down")
{
  NodeFleet fleet(8);
  fleet.Store().SetOutage(true);
  const auto sent = fleet.Now();
  const auto request = fleet.SendOrder(0, "order");
  fleet.Run(6s);
  const auto& answer = OnlyAnswer(fleet, request);
  CHECK(answer.mVerdict == Verdict::NotRun);
  CHECK(answer.mAt - sent <= 4s);
  CHECK(fleet.RunsOfKey("order") == 0);
}

TEST_CASE("a ticket lets an order run once through an outage, at whatever instance it is used")
{
  NodeFleet fleet(9);
  const auto issued = fleet.NodeAt(0).IssueTicket("node-test-key", fleet.Time());
  REQUIRE(std::holds_alternative<std::string>(issued));
  const auto ticket = std::get<std::string>(issued);
  fleet.Store().SetOutage(true);
  fleet.Run(1s);
  const auto first = fleet.SendOrder(1, ticket);
  const auto second = fleet.SendOrder(2, ticket);
  fleet.Run(3s);
  CHECK(fleet.RunsOfKey(ticket) == 1);
  const auto third = fleet.SendOrder(0, ticket);
  fleet.Run(3s);
  CHECK(OnlyAnswer(fleet, third).mVerdict == Verdict::Ran);
  CHECK(fleet.RunsOfKey(ticket) == 1);
  CHECK(OnlyAnswer(fleet, first).mVerdict != Verdict::NotRun);
  CHECK(OnlyAnswer(fleet, second).mVerdict != Verdict::NotRun);
}

TEST_CASE("an order claimed by a killed instance may have run and is never run again")
{
  for (int step = 0; step < 40; ++step) {
    NodeFleet fleet(100 + static_cast<std::uint64_t>(step));
    fleet.SendOrder(0, "order");
    fleet.Run(std::chrono::milliseconds(step * 5));
    fleet.Kill(0);
    fleet.Run(5s);
    const auto ranBefore = fleet.RunsOfKey("order");
    const auto request = fleet.SendOrder(1, "order");
    fleet.Run(10s);
    CHECK(fleet.RunsOfKey("order") <= 1);
    if (ranBefore == 1) {
      CHECK(OnlyAnswer(fleet, request).mVerdict != Verdict::NotRun);
      REQUIRE_FALSE(fleet.StoredUsageRecords().empty());
    }
    for (const auto& it : fleet.StoredUsageRecords()) {
      CHECK(it.mModel == "orders");
    }
  }
}

TEST_CASE("an instance paused around its dispatch and resumed later runs no order twice")
{
  for (int step = 0; step < 40; ++step) {
    NodeFleet fleet(200 + static_cast<std::uint64_t>(step));
    fleet.SendOrder(0, "order");
    fleet.Run(std::chrono::milliseconds(step * 5));
    fleet.Pause(0);
    fleet.SendOrder(1, "order");
    fleet.Run(6s);
    fleet.SendOrder(2, "order");
    fleet.Run(6s);
    fleet.Resume(0);
    fleet.Run(6s);
    CHECK(fleet.RunsOfKey("order") <= 1);
  }
}

TEST_CASE("an instance resumed after a pause runs nothing on a version withdrawn meanwhile")
{
  NodeFleet fleet(10);
  fleet.Pause(0);
  for (int n = 0; n < 20; ++n) {
    fleet.SendChat(0);
  }
  fleet.PutBundle(NodeBundle("withdrawn"), 2);
  fleet.Run(8s);
  fleet.Resume(0);
  fleet.Run(3s);
  for (const auto& it : fleet.Runs()) {
    CHECK(it.mVersion == "note/1");
  }
}

TEST_CASE("a leaving endpoint receives nothing once the list says so")
{
  NodeFleet fleet(11);
  fleet.AnnounceStop("engine-1");
  fleet.Run(3s);
  for (int n = 0; n < 40; ++n) {
    fleet.SendChat(n % 3);
    fleet.Run(20ms);
  }
  fleet.Run(2s);
  CHECK(fleet.Runs().size() == 40);
  for (const auto& it : fleet.Runs()) {
    CHECK(it.mEndpoint == "engine-2");
  }
}

TEST_CASE("the backup writes the bill of a killed instance")
{
  NodeFleet fleet(12);
  const auto request = fleet.SendChat(0);
  while (fleet.Answers().count(request) == 0) {
    fleet.Run(20ms);
  }
  fleet.Kill(0);
  fleet.Run(60s);
  std::size_t billed = 0;
  for (const auto& it : fleet.StoredUsageRecords()) {
    billed += it.mRequest.Value() == request ? 1 : 0;
  }
  CHECK(billed == 1);
}

TEST_CASE("an instance is drained only once the outcomes of its orders can answer a resend")
{
  NodeFleet fleet(15);
  fleet.SendOrder(0, "order");
  while (fleet.RunsOfKey("order") == 0) {
    fleet.Run(20ms);
  }
  fleet.Store().SetFaults([](const ObjectCall& aCall) {
    return aCall.mPurpose == CallPurpose::Claim ? StoreFault::Unavailable : StoreFault::None;
  });
  fleet.Run(3s);
  REQUIRE(fleet.StoredUsageRecords().size() == 1);
  CHECK_FALSE(fleet.NodeAt(0).IsDrained());
  fleet.Store().SetFaults({});
  fleet.Run(5s);
  REQUIRE(fleet.NodeAt(0).IsDrained());
  fleet.Kill(0);
  fleet.Run(4s);
  const auto second = fleet.SendOrder(1, "order");
  fleet.Run(4s);
  CHECK(OnlyAnswer(fleet, second).mKind == "replay");
  CHECK(fleet.RunsOfKey("order") == 1);
}

TEST_CASE("a stopping backup writes what it holds for a killed instance at once")
{
  NodeFleet fleet(16, 2);
  const auto request = fleet.SendChat(0);
  while (fleet.Answers().count(request) == 0) {
    fleet.Run(20ms);
  }
  fleet.Kill(0);
  fleet.Flush(1);
  fleet.Run(1s);
  CHECK(fleet.NodeAt(1).IsDrained());
  REQUIRE(fleet.StoredUsageRecords().size() == 1);
  CHECK(fleet.StoredUsageRecords().front().mRequest.Value() == request);
}

TEST_CASE("the generation never goes back, whatever the store shows after an outage")
{
  NodeFleet fleet(13);
  fleet.PutBundle(NodeBundle("withdrawn"), 2);
  fleet.Run(5s);
  fleet.Store().SetOutage(true);
  fleet.Run(5s);
  fleet.PutBundle(NodeBundle(), 1);
  fleet.Store().SetOutage(false);
  fleet.Run(15s);
  for (int n = 0; n < 3; ++n) {
    CHECK(fleet.GenerationAt(n) == 2);
  }
}
