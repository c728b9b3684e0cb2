#include "LedgerFleet.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

UsageRecord MakeRecord(const LedgerFleet& aFleet, const std::string& aId, const std::string& aKey)
{
  UsageRecord record;
  record.mTeam = TeamName("town");
  record.mKey = RequestKey(aKey);
  record.mRequest = RequestId(aId);
  record.mModel = "m/v1";
  record.mPromptTokens = 10;
  record.mCompletionTokens = 5;
  record.mPrice = 0.25;
  record.mAt = aFleet.mClock.WallNow();
  return record;
}

std::vector<UsageBatch> BatchesOf(const LedgerFleet& aFleet)
{
  std::vector<UsageBatch> batches;
  for (const auto& it : aFleet.mStore.Keys("usage/")) {
    const auto batch = DecodeUsageBatch(aFleet.mStore.Body(it));
    REQUIRE(batch);
    CHECK(UsageBatchKey(batch->mOwner, batch->mSequence) == it);
    batches.push_back(*batch);
  }
  return batches;
}

std::set<std::string> RequestsIn(const std::vector<UsageBatch>& aBatches)
{
  std::set<std::string> requests;
  for (const auto& batch : aBatches) {
    for (const auto& it : batch.mRecords) {
      requests.insert(it.mRequest.Value());
    }
  }
  return requests;
}

std::uint64_t BilledRequests(const UsageBill& aBill)
{
  std::uint64_t count = 0;
  for (const auto& it : aBill.mLines) {
    count += it.mRequests;
  }
  return count;
}

} // namespace

TEST_CASE("a record is safe after one round trip to a backup, before any store call")
{
  LedgerFleet fleet(1, {});
  fleet.mStore.SetOutage(true);
  std::set<std::string> safe;
  fleet.mOnSafe = [&](std::size_t, const RequestId& aRequest) { safe.insert(aRequest.Value()); };
  fleet.Record(0, MakeRecord(fleet, "a", "a"));
  fleet.Run(6ms);
  CHECK(safe.count("a") == 1);
}

TEST_CASE("the records of an instance that dies are written by its backup, in an outage later on")
{
  LedgerFleet fleet(2, {});
  fleet.mStore.SetOutage(true);
  fleet.Record(0, MakeRecord(fleet, "a", "a"));
  fleet.Run(20ms);
  fleet.Kill(0, 20ms);
  fleet.Run(500ms);
  CHECK(BatchesOf(fleet).empty());
  fleet.mStore.SetOutage(false);
  fleet.Run(5s);
  CHECK(RequestsIn(BatchesOf(fleet)).count("a") == 1);
  for (std::size_t n = 0; n < fleet.Size(); ++n) {
    CHECK(fleet.At(n).mUsage->IsDrained());
  }
}

TEST_CASE("an owner that was paused while its backup wrote its batch adds only what is missing")
{
  LedgerFleet fleet(3, {});
  fleet.Record(0, MakeRecord(fleet, "a", "a"));
  fleet.Run(20ms);
  fleet.Pause(0);
  fleet.Run(4s);
  CHECK(RequestsIn(BatchesOf(fleet)).count("a") == 1);
  fleet.Record(0, MakeRecord(fleet, "b", "b"));
  fleet.Resume(0);
  fleet.Run(1s);
  const auto batches = BatchesOf(fleet);
  CHECK(RequestsIn(batches) == std::set<std::string>{ "a", "b" });
  CHECK(BilledRequests(AggregateUsage(batches)) == 2);
  CHECK(fleet.At(0).mUsage->IsDrained());
}

TEST_CASE("when the backup dies its records go to another peer")
{
  LedgerFleet fleet(4, {});
  fleet.mStore.SetOutage(true);
  fleet.Record(0, MakeRecord(fleet, "a", "a"));
  fleet.Run(20ms);
  for (std::size_t n = 1; n < 4; ++n) {
    std::vector<BackupCandidate> peers;
    for (std::size_t other = 1; other < 4; ++other) {
      if (other != n) {
        peers.push_back({ LedgerFleet::NameOf(other), ZoneName("zone-9") });
      }
    }
    fleet.Kill(n, 5ms);
    fleet.SetPeers(0, peers);
    fleet.Run(50ms);
  }
  fleet.Kill(0, 5ms);
  fleet.mStore.SetOutage(false);
  fleet.Run(5s);
  CHECK(RequestsIn(BatchesOf(fleet)).count("a") == 1);
}

TEST_CASE("without store and backup an answer waits no longer than its bound, and this is logged")
{
  UsageLedger::Options options;
  options.mIncarnation = IncarnationId("self");
  UsageLedger ledger(options);
  TimePoint now{};
  UsageRecord record;
  record.mRequest = RequestId("a");
  auto output = ledger.Record(record, now);
  REQUIRE(output.mCalls.size() == 1);
  CHECK(output.mReleasedRequests.empty());
  CHECK(ledger.Tick(now + 1999ms).mReleasedRequests.empty());
  output = ledger.Tick(now + 2000ms);
  CHECK(output.mReleasedRequests.size() == 1);
  CHECK(output.mEvents.front().mDescription == &kUsageUnprotected);
}

TEST_CASE("the memory of the ledger is bounded: it refuses to hold and reports no room")
{
  UsageLedger::Options options;
  options.mIncarnation = IncarnationId("self");
  options.mMaxRecords = 10;
  UsageLedger ledger(options);
  const TimePoint now{};
  UsageBatch batch{ IncarnationId("other"), 1, {} };
  for (int n = 0; n < 10; ++n) {
    UsageRecord record;
    record.mRequest = RequestId(std::to_string(n));
    batch.mRecords.push_back(record);
  }
  CHECK(ledger.HasRoom());
  CHECK(ledger.OnBackup(EncodeUsageBatch(batch), now));
  CHECK_FALSE(ledger.HasRoom());
  batch.mSequence = 2;
  CHECK_FALSE(ledger.OnBackup(EncodeUsageBatch(batch), now));
  ledger.OnDrop(EncodeUsageDrop({ IncarnationId("other"), 1 }));
  CHECK(ledger.HasRoom());
}

TEST_CASE("a flush makes every record durable before a stop")
{
  LedgerFleet fleet(5, {});
  for (int n = 0; n < 20; ++n) {
    fleet.Record(0, MakeRecord(fleet, "r" + std::to_string(n), "k" + std::to_string(n)));
  }
  fleet.Flush(0);
  fleet.Run(60ms);
  CHECK(fleet.At(0).mUsage->IsDrained());
  CHECK(RequestsIn(BatchesOf(fleet)).size() == 20);
}

TEST_CASE("the bill folds resends, repeated batches and later requests of one key")
{
  LedgerFleet fleet(6, {});
  auto first = MakeRecord(fleet, "a", "key");
  auto resend = MakeRecord(fleet, "b", "key");
  resend.mAt += 5s;
  resend.mModel = "m/v2";
  auto nextDay = MakeRecord(fleet, "c", "key");
  nextDay.mAt += 25h;
  const UsageBatch one{ IncarnationId("x"), 1, { first } };
  const UsageBatch two{ IncarnationId("y"), 1, { resend, first, nextDay } };
  const auto bill = AggregateUsage({ two, one, two });
  REQUIRE(bill.mLines.size() == 1);
  CHECK(bill.mLines.front().mModel == "m/v1");
  CHECK(bill.mLines.front().mRequests == 2);
  CHECK(bill.mLines.front().mPromptTokens == 20);
  CHECK(bill.mDuplicateRecords == 5);
}

TEST_CASE("what was reported safe is billed once under random failures, and nothing else is")
{
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    DelayedObjectStore::Options faults;
    faults.mLostPermille = 60;
    faults.mLatePermille = 40;
    faults.mUnavailablePermille = 60;
    faults.mThrottledPermille = 30;
    LedgerFleet fleet(seed, faults);
    fleet.mPeerLossPermille = 30;
    std::set<std::string> recorded;
    std::set<std::string> safe;
    std::set<std::string> keys;
    fleet.mOnSafe = [&](std::size_t, const RequestId& aRequest) {
      REQUIRE(safe.insert(aRequest.Value()).second);
    };
    for (int n = 0; n < 120; ++n) {
      const auto id = "r" + std::to_string(n);
      const auto index = fleet.Draw(3);
      if (!fleet.At(index).mPaused) {
        recorded.insert(id);
        fleet.Record(index, MakeRecord(fleet, id, id));
      }
      if (fleet.Draw(29) == 0) {
        fleet.Pause(fleet.Draw(3));
      }
      if (fleet.Draw(4) == 0) {
        fleet.Resume(fleet.Draw(3));
      }
      if (fleet.Draw(39) == 0) {
        // Only the owner and one backup hold a record, so losing both at once would lose it. Before
        // an instance is killed, paused ones resume and records move away from killed ones.
        for (std::size_t it = 0; it < fleet.Size(); ++it) {
          fleet.Resume(it);
        }
        fleet.Run(3s);
        fleet.Kill(fleet.Draw(3), 30ms);
      }
      fleet.Run(std::chrono::milliseconds(fleet.Draw(20)));
    }
    for (std::size_t n = 0; n < fleet.Size(); ++n) {
      fleet.Resume(n);
    }
    fleet.Run(8s);
    const auto batches = BatchesOf(fleet);
    const auto durable = RequestsIn(batches);
    for (const auto& it : safe) {
      REQUIRE(durable.count(it) == 1);
    }
    for (const auto& it : durable) {
      REQUIRE(recorded.count(it) == 1);
    }
    REQUIRE(BilledRequests(AggregateUsage(batches)) == durable.size());
  }
}
