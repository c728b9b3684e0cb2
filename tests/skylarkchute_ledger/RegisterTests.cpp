#include "support/DelayedObjectStore.h"

#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <catch2/catch.hpp>

#include <memory>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

enum class Kind
{
  ObjectPerRegister,
  Sharded,
};

WriteOnceRegisters MakeRegisters(Kind aKind, RegisterOptions aOptions)
{
  if (aKind == Kind::ObjectPerRegister) {
    return WriteOnceRegisters(ObjectPerRegister(aOptions));
  }
  return WriteOnceRegisters(ShardedRegisters(aOptions));
}

RegisterOptions SmallOptions()
{
  RegisterOptions options;
  options.mShards = 2;
  options.mSegmentRegisters = 4;
  options.mCallTimeout = 50ms;
  options.mOperationTimeout = 400ms;
  options.mInitialBackoff = 5ms;
  options.mMaxBackoff = 40ms;
  return options;
}

/** Several instances that write registers through one store. */
class Fleet
{
public:
  Fleet(Kind aKind,
        std::size_t aInstances,
        std::uint32_t aSeed,
        DelayedObjectStore::Options aFaults)
    : mKind(aKind)
    , mAsync(mStore, aFaults, aSeed)
  {
    for (std::size_t n = 0; n < aInstances; ++n) {
      mInstances.push_back({ MakeRegisters(aKind, SmallOptions()), false, {}, 0 });
    }
    Tick();
  }

  void Write(std::size_t aInstance, std::uint64_t aOperationId, const RegisterWrite& aWrite)
  {
    HandleOutput(aInstance,
                 mInstances[aInstance].mRegisters.Write(aOperationId, aWrite, mClock.Now()));
  }

  void Read(std::size_t aInstance, std::uint64_t aOperationId, const std::string& aKey)
  {
    HandleOutput(aInstance,
                 mInstances[aInstance].mRegisters.Read(aOperationId, aKey, mClock.Now()));
  }

  /** Defers all store replies to an instance until it resumes. */
  void Pause(std::size_t aInstance) { mInstances[aInstance].mPaused = true; }

  void Resume(std::size_t aInstance)
  {
    mInstances[aInstance].mPaused = false;
    auto deferred = std::move(mInstances[aInstance].mDeferred);
    mInstances[aInstance].mDeferred.clear();
    for (const auto& it : deferred) {
      HandleOutput(aInstance, mInstances[aInstance].mRegisters.OnReply(it, mClock.Now()));
    }
  }

  /** Replaces an instance with a new one; operations under way get no outcome. */
  void Kill(std::size_t aInstance)
  {
    const auto incarnation = mInstances[aInstance].mIncarnationNumber + 1;
    mInstances[aInstance] = { MakeRegisters(mKind, SmallOptions()), false, {}, incarnation };
    Tick();
  }

  /** Advances the clock in steps of 1 ms. */
  void Run(std::chrono::milliseconds aTime)
  {
    for (auto n = 0ms; n < aTime; n += 1ms) {
      mClock.Advance(1ms);
      for (const auto& it : mAsync.Advance(mClock.Now())) {
        const auto index = it.mInstance % kIncarnationStride;
        auto& instance = mInstances[index];
        if (it.mInstance / kIncarnationStride != instance.mIncarnationNumber) {
          continue;
        }
        if (instance.mPaused) {
          instance.mDeferred.push_back(it.mReply);
        } else {
          HandleOutput(index, instance.mRegisters.OnReply(it.mReply, mClock.Now()));
        }
      }
      Tick();
    }
  }

  void Tick()
  {
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      if (!mInstances[n].mPaused) {
        HandleOutput(n, mInstances[n].mRegisters.Tick(mClock.Now(), mClock.WallNow()));
      }
    }
  }

  std::optional<RegisterOutcome> Outcome(std::uint64_t aOperationId) const
  {
    const auto it = mOutcomes.find(aOperationId);
    return it == mOutcomes.end() ? std::nullopt : std::optional<RegisterOutcome>(it->second);
  }

  FakeObjectStore mStore;
  ManualClock mClock;
  const Kind mKind;
  DelayedObjectStore mAsync;
  std::map<std::uint64_t, RegisterOutcome> mOutcomes;

private:
  struct Instance
  {
    WriteOnceRegisters mRegisters;
    bool mPaused = false;
    std::vector<ObjectReply> mDeferred;
    std::size_t mIncarnationNumber = 0; /**< Replies to an earlier incarnation are dropped. */
  };

  /** Instance numbers in DelayedObjectStore are the index plus this times the incarnation number.
   */
  static constexpr std::size_t kIncarnationStride = 1000;

  void HandleOutput(std::size_t aInstance, RegisterOutput aOutput)
  {
    for (const auto& it : aOutput.mCalls) {
      mAsync.Send(aInstance + kIncarnationStride * mInstances[aInstance].mIncarnationNumber,
                  it,
                  mClock.Now());
    }
    for (auto& it : aOutput.mOutcomes) {
      const bool first = mOutcomes.emplace(it.mOperationId, it).second;
      REQUIRE(first);
    }
  }

  std::vector<Instance> mInstances;
};

RegisterWrite MakeWrite(const Fleet& aFleet, const std::string& aKey, const std::string& aValue)
{
  return { "claim/team/" + aKey, aValue, aFleet.mClock.WallNow() + 24h };
}

/** One write or read of a random run. */
struct Operation
{
  std::string mKey;
  std::string mValue;
  bool mReadOnly = false;
  bool mKeyWasKnown = false; /**< An outcome had shown a durable value before the read. */
};

/** Random writes, reads, pauses and restarts on three instances with all store faults. The outcomes
    must agree with a map that keeps the first durable value that any outcome shows for a key. */
void RunRandom(Kind aKind, std::uint32_t aSeed)
{
  INFO("seed " << aSeed);
  DelayedObjectStore::Options faults;
  faults.mLostPermille = 60;
  faults.mLatePermille = 40;
  faults.mUnavailablePermille = 30;
  faults.mThrottledPermille = 30;
  Fleet fleet(aKind, 3, aSeed, faults);
  boost::random::mt19937 random(aSeed * 7919 + 1);
  const auto draw = [&](std::uint32_t aMax) {
    return boost::random::uniform_int_distribution<std::uint32_t>(0, aMax)(random);
  };
  std::map<std::uint64_t, Operation> operations;
  std::map<std::string, std::string> model;
  std::size_t seen = 0;
  const auto check = [&] {
    if (fleet.mOutcomes.size() == seen) {
      return;
    }
    seen = fleet.mOutcomes.size();
    for (const auto& [operationId, outcome] : fleet.mOutcomes) {
      const auto& operation = operations.at(operationId);
      if (outcome.mResult == RegisterResult::Won || outcome.mResult == RegisterResult::Lost) {
        const auto it = model.emplace(operation.mKey, outcome.mValue).first;
        REQUIRE(it->second == outcome.mValue);
      }
      if (outcome.mResult == RegisterResult::Won) {
        REQUIRE(outcome.mValue == operation.mValue);
      }
      if (outcome.mResult == RegisterResult::Lost && !operation.mReadOnly) {
        REQUIRE(outcome.mValue != operation.mValue);
      }
      if (outcome.mResult == RegisterResult::Absent) {
        REQUIRE(operation.mReadOnly);
        REQUIRE_FALSE(operation.mKeyWasKnown);
      }
    }
  };
  for (std::uint64_t operationId = 1; operationId <= 120; ++operationId) {
    const auto instance = draw(2);
    Operation operation{ "key-" + std::to_string(draw(39)),
                         "value-" + std::to_string(operationId) };
    operation.mReadOnly = draw(4) == 0;
    operation.mKeyWasKnown = model.count(operation.mKey) != 0;
    operations[operationId] = operation;
    if (operation.mReadOnly) {
      fleet.Read(instance, operationId, "claim/team/" + operation.mKey);
    } else {
      fleet.Write(instance, operationId, MakeWrite(fleet, operation.mKey, operation.mValue));
    }
    if (draw(29) == 0) {
      fleet.Pause(draw(2));
    }
    if (draw(9) == 0) {
      fleet.Resume(draw(2));
    }
    if (draw(39) == 0) {
      fleet.Kill(draw(2));
    }
    fleet.Run(std::chrono::milliseconds(draw(12)));
    check();
  }
  for (std::size_t n = 0; n < 3; ++n) {
    fleet.Resume(n);
  }
  fleet.Run(1500ms);
  check();

  fleet.mAsync.SetOptions({});
  fleet.Kill(0);
  std::uint64_t next = 1000;
  for (int n = 0; n < 40; ++n) {
    operations[next] = { "key-" + std::to_string(n), {}, true, false };
    fleet.Read(0, next++, "claim/team/key-" + std::to_string(n));
  }
  fleet.Run(300ms);
  std::map<std::string, std::string> durable;
  for (std::uint64_t operationId = 1000; operationId < next; ++operationId) {
    const auto outcome = fleet.Outcome(operationId);
    REQUIRE(outcome);
    REQUIRE(
      (outcome->mResult == RegisterResult::Lost || outcome->mResult == RegisterResult::Absent));
    if (outcome->mResult == RegisterResult::Lost) {
      durable[operations.at(operationId).mKey] = outcome->mValue;
    }
  }
  for (const auto& [key, value] : model) {
    REQUIRE(durable[key] == value);
  }
  for (const auto& [operationId, outcome] : fleet.mOutcomes) {
    const auto& operation = operations.at(operationId);
    if (outcome.mResult == RegisterResult::NotWritten && !operation.mReadOnly) {
      REQUIRE(durable[operation.mKey] != operation.mValue);
    }
  }
}

constexpr std::uint32_t kSeeds = 300;

} // namespace

TEST_CASE("both register stores agree with a naive map under every store fault")
{
  const auto kind = GENERATE(Kind::ObjectPerRegister, Kind::Sharded);
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    RunRandom(kind, seed);
  }
}

TEST_CASE("of two writers at once exactly one wins and the other learns its value")
{
  const auto kind = GENERATE(Kind::ObjectPerRegister, Kind::Sharded);
  Fleet fleet(kind, 2, 1, {});
  fleet.Write(0, 1, MakeWrite(fleet, "order", "a"));
  fleet.Write(1, 2, MakeWrite(fleet, "order", "b"));
  fleet.Run(100ms);
  const auto first = *fleet.Outcome(1);
  const auto second = *fleet.Outcome(2);
  CHECK((first.mResult == RegisterResult::Won) != (second.mResult == RegisterResult::Won));
  CHECK(first.mValue == second.mValue);
}

TEST_CASE("a write whose answer was lost is read back and counts as won")
{
  const auto kind = GENERATE(Kind::ObjectPerRegister, Kind::Sharded);
  Fleet fleet(kind, 1, 1, {});
  bool lost = false;
  fleet.mStore.SetFaults([&](const ObjectCall& aCall) {
    const bool put = std::holds_alternative<PutObject>(aCall.mOperation);
    return put && !std::exchange(lost, lost || put) ? StoreFault::LostAfterEffect
                                                    : StoreFault::None;
  });
  fleet.Write(0, 1, MakeWrite(fleet, "order", "a"));
  fleet.Run(200ms);
  CHECK(lost);
  CHECK(fleet.Outcome(1)->mResult == RegisterResult::Won);
}

TEST_CASE("in an outage a write ends quickly with not-written, and works once the store is back")
{
  const auto kind = GENERATE(Kind::ObjectPerRegister, Kind::Sharded);
  Fleet fleet(kind, 1, 1, {});
  fleet.mStore.SetOutage(true);
  fleet.Write(0, 1, MakeWrite(fleet, "order", "a"));
  fleet.Run(20ms);
  CHECK(fleet.Outcome(1)->mResult == RegisterResult::NotWritten);
  fleet.mStore.SetOutage(false);
  fleet.Run(100ms);
  fleet.Write(0, 2, MakeWrite(fleet, "order", "b"));
  fleet.Run(100ms);
  CHECK(fleet.Outcome(2)->mResult == RegisterResult::Won);
}

TEST_CASE("writes that arrive during a commit join the next one")
{
  Fleet fleet(Kind::Sharded, 1, 1, {});
  for (std::uint64_t n = 1; n <= 100; ++n) {
    fleet.Write(0, n, MakeWrite(fleet, "order-" + std::to_string(n), "v"));
  }
  fleet.Run(200ms);
  for (std::uint64_t n = 1; n <= 100; ++n) {
    CHECK(fleet.Outcome(n)->mResult == RegisterResult::Won);
  }
  // In each of two shards: a commit of the first write, one of the rest, and copies of full heads.
  CHECK(fleet.mStore.Counts().mWrites <= 8);
}

TEST_CASE("an idle shard that is loaded needs one store call for a write")
{
  Fleet fleet(Kind::Sharded, 1, 1, {});
  fleet.Write(0, 1, { "claim/team/x", "v", fleet.mClock.WallNow() + 24h });
  fleet.Run(50ms);
  const auto before = fleet.mStore.Calls();
  fleet.Write(0, 2, { "outcome/team/x", "w", fleet.mClock.WallNow() + 24h });
  fleet.Run(50ms);
  CHECK(fleet.Outcome(2)->mResult == RegisterResult::Won);
  CHECK(fleet.mStore.Calls() - before == 1);
}

TEST_CASE("segments are removed after the retention, and the chain goes on")
{
  Fleet fleet(Kind::Sharded, 2, 1, {});
  std::uint64_t operationId = 0;
  for (int day = 0; day < 5; ++day) {
    for (int n = 0; n < 40; ++n) {
      const auto name = std::to_string(day) + "-" + std::to_string(n);
      fleet.Write(n % 2, ++operationId, MakeWrite(fleet, name, "v" + name));
      fleet.Run(10ms);
    }
    fleet.Run(100ms);
    fleet.mClock.Advance(25h);
    fleet.Tick();
  }
  for (std::uint64_t n = 1; n <= operationId; ++n) {
    REQUIRE(fleet.Outcome(n)->mResult == RegisterResult::Won);
  }
  // 200 registers fill about 50 segments; those of one day may remain in each of the two shards.
  CHECK(fleet.mStore.Keys("registers/").size() <= 16);
  fleet.Write(0, 9001, MakeWrite(fleet, "0-0", "again"));
  fleet.Run(100ms);
  CHECK(fleet.Outcome(9001)->mResult == RegisterResult::Won);
}

TEST_CASE("a writer that pauses longer than the retention cannot bring back a removed segment")
{
  Fleet fleet(Kind::Sharded, 2, 3, {});
  fleet.Write(1, 1, MakeWrite(fleet, "warm", "v"));
  fleet.Run(50ms);
  fleet.Pause(1);
  std::uint64_t operationId = 100;
  for (int day = 0; day < 3; ++day) {
    for (int n = 0; n < 20; ++n) {
      const auto name = std::to_string(day) + "-" + std::to_string(n);
      fleet.Write(0, ++operationId, MakeWrite(fleet, name, "v"));
      fleet.Run(10ms);
    }
    fleet.mClock.Advance(25h);
    fleet.Tick();
  }
  fleet.Write(0, 5000, MakeWrite(fleet, "order", "first"));
  fleet.Run(50ms);
  fleet.Resume(1);
  fleet.Write(1, 5001, MakeWrite(fleet, "order", "second"));
  fleet.Run(200ms);
  CHECK(fleet.Outcome(5000)->mResult == RegisterResult::Won);
  CHECK(fleet.Outcome(5001)->mResult == RegisterResult::Lost);
  CHECK(fleet.Outcome(5001)->mValue == "first");
}

TEST_CASE("an unreadable head refuses writes to its shard and says so")
{
  Fleet fleet(Kind::Sharded, 1, 1, {});
  fleet.mStore.Overwrite("registers/0/head", "not json");
  fleet.mStore.Overwrite("registers/1/head", "not json");
  fleet.Write(0, 1, MakeWrite(fleet, "order", "a"));
  fleet.Run(50ms);
  CHECK(fleet.Outcome(1)->mResult == RegisterResult::NotWritten);
}

TEST_CASE("a register in a segment that has left memory is read again before it is answered")
{
  Fleet fleet(Kind::Sharded, 1, 1, {});
  for (int n = 0; n < 200; ++n) {
    fleet.Write(0, static_cast<std::uint64_t>(n + 1), MakeWrite(fleet, std::to_string(n), "first"));
    fleet.Run(10ms);
  }
  fleet.Run(100ms);
  for (int n = 0; n < 200; ++n) {
    const auto operationId = static_cast<std::uint64_t>(1000 + n);
    fleet.Write(0, operationId, MakeWrite(fleet, std::to_string(n), "second"));
    fleet.Run(20ms);
    REQUIRE(fleet.Outcome(operationId)->mResult == RegisterResult::Lost);
    REQUIRE(fleet.Outcome(operationId)->mValue == "first");
  }
}
