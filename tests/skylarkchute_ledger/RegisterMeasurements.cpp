#include "support/DelayedObjectStore.h"

#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

/** Results of one run. */
struct Cost
{
  double mWritesPerSecond = 0;
  double mBytesPerWrite = 0;
  double mBytesPerClaim = 0;
  double mP50Ms = 0; /**< Latency of a claim. */
  double mP99Ms = 0;
  std::uint64_t mNotWon = 0; /**< Claims with another outcome than Won. */
};

constexpr auto kWarmUp = 5s;
constexpr auto kMeasured = 20s;
constexpr auto kStep = 250us;

RegisterWrite MakeClaim(std::uint64_t aNumber, WallTime aExpires)
{
  const auto key = Sha256Hex(std::to_string(aNumber)).substr(0, 24);
  return {
    "claim/dispatch/" + key,
    "{\"expires\":1700000000000,\"holder\":\"instance-017.1764796800.7f3a91c2\",\"print\":\"" +
      Sha256Hex(key) + "\",\"request\":\"instance-017-0000000000000042\"}",
    aExpires
  };
}

/** Writes claims with Poisson arrivals from one instance, the preferred owner of all shards.
    @param aRate          claims per second
    @param aStoreLatency  mean round trip time of a store call */
Cost Measure(WriteOnceRegisters aRegisters,
             double aRate,
             std::chrono::milliseconds aStoreLatency,
             std::uint32_t aSeed)
{
  FakeObjectStore store;
  DelayedObjectStore::Options options;
  // The options are one-way times: half of the round trip, plus or minus a quarter.
  options.mMinLatency = std::chrono::microseconds(aStoreLatency.count() * 375);
  options.mMaxLatency = std::chrono::microseconds(aStoreLatency.count() * 625);
  DelayedObjectStore async(store, options, aSeed);
  ManualClock clock;
  boost::random::mt19937 random(aSeed);
  std::map<std::uint64_t, TimePoint> started;
  std::vector<double> latencies;
  Cost cost;
  const auto begin = clock.Now();
  const auto handleOutput = [&](const RegisterOutput& aOutput) {
    for (const auto& it : aOutput.mCalls) {
      async.Send(0, it, clock.Now());
    }
    for (const auto& it : aOutput.mOutcomes) {
      const auto since = started.at(it.mOperationId);
      started.erase(it.mOperationId);
      cost.mNotWon += it.mResult == RegisterResult::Won ? 0 : 1;
      if (since - begin >= kWarmUp) {
        latencies.push_back(std::chrono::duration<double, std::milli>(clock.Now() - since).count());
      }
    }
  };
  std::uint64_t next = 1;
  double nextArrival = 0;
  bool counting = false;
  while (clock.Now() - begin < kWarmUp + kMeasured) {
    clock.Advance(kStep);
    if (!counting && clock.Now() - begin >= kWarmUp) {
      counting = true;
      store.ResetCounts();
    }
    for (const auto& it : async.Advance(clock.Now())) {
      handleOutput(aRegisters.OnReply(it.mReply, clock.Now()));
    }
    const double now = std::chrono::duration<double>(clock.Now() - begin).count();
    while (nextArrival <= now) {
      started.emplace(next, clock.Now());
      handleOutput(aRegisters.Write(next, MakeClaim(next, clock.WallNow() + 24h), clock.Now()));
      ++next;
      const auto draw = boost::random::uniform_int_distribution<std::uint32_t>(1, 1000000)(random);
      nextArrival -= std::log(draw / 1e6) / aRate;
    }
    handleOutput(aRegisters.Tick(clock.Now(), clock.WallNow()));
  }
  std::sort(latencies.begin(), latencies.end());
  const auto& counts = store.Counts();
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  cost.mWritesPerSecond = static_cast<double>(counts.mWrites) / seconds;
  cost.mBytesPerWrite =
    static_cast<double>(counts.mBytesWritten) / static_cast<double>(counts.mWrites);
  cost.mBytesPerClaim =
    static_cast<double>(counts.mBytesWritten) / static_cast<double>(latencies.size());
  cost.mP50Ms = latencies[latencies.size() / 2];
  cost.mP99Ms = latencies[latencies.size() * 99 / 100];
  return cost;
}

void Print(const std::string& aName,
           double aRate,
           std::chrono::milliseconds aStore,
           const Cost& aCost)
{
  std::cout << "| " << aName << " | " << aRate << " | " << aStore.count() << " | " << std::fixed
            << std::setprecision(1) << aCost.mWritesPerSecond << " | " << std::setprecision(0)
            << aCost.mBytesPerWrite << " | " << aCost.mBytesPerClaim << " | "
            << std::setprecision(1) << aCost.mP50Ms << " | " << aCost.mP99Ms << " |"
            << (aCost.mNotWon == 0 ? "" : " not won: " + std::to_string(aCost.mNotWon))
            << std::defaultfloat << "\n";
}

} // namespace

TEST_CASE("cost of register stores by rate, shards and store latency", "[.measure]")
{
  std::cout
    << "| store | claims/s | store ms | writes/s | bytes/write | bytes/claim | p50 ms | p99 "
       "ms |\n|---|---|---|---|---|---|---|---|\n";
  constexpr std::uint32_t kSeed = 1;
  for (const auto latency : { 2ms, 10ms, 50ms }) {
    for (const double rate : { 2.0, 20.0, 200.0, 1000.0 }) {
      Print("object per register",
            rate,
            latency,
            Measure(WriteOnceRegisters(ObjectPerRegister({})), rate, latency, kSeed));
      for (const std::uint32_t shards : { 1U, 4U, 16U, 64U }) {
        RegisterOptions options;
        options.mShards = shards;
        Print("group commit, " + std::to_string(shards) + " shards",
              rate,
              latency,
              Measure(WriteOnceRegisters(ShardedRegisters(options)), rate, latency, kSeed));
      }
    }
  }
}

TEST_CASE("cost of group commit by segment size", "[.measure]")
{
  std::cout << "| segment registers | claims/s | store ms | writes/s | bytes/write | bytes/claim | "
               "p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|\n";
  for (const std::uint32_t segment : { 16U, 64U, 256U, 1024U }) {
    RegisterOptions options;
    options.mShards = 16;
    options.mSegmentRegisters = segment;
    options.mSegmentBytes = 1000000;
    Print(std::to_string(segment),
          200,
          10ms,
          Measure(WriteOnceRegisters(ShardedRegisters(options)), 200, 10ms, 1));
  }
}
