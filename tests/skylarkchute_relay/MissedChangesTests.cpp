#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/store/MissedChanges.h>
#include <skylarkchute_relay/store/StoreProbe.h>
#include <skylarkchute_relay/store/StoreWatcher.h>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr auto kWait = MissedChanges::kArrivalTime;

/** A follower of the configuration before a store that loses the answers to watches that wait when
    a change is made, and answers all other calls. */
struct LostAnswerFixture : StoreHealthListener
{
  LostAnswerFixture() { mWatcher->Restart(); }
  ~LostAnswerFixture() override
  {
    mWatcher->Stop();
    mProbe.Stop();
  }

  void OnStoreSuccess(ObjectKind) override {}
  void OnStoreFailure(ObjectKind, const std::string&) override {}
  void OnStoreChange(StoreVersion aRevision) override { mMissed.OnChange(aRevision); }
  bool MayRetry(ObjectKind) const override { return true; }
  ListOrigin OriginOfList() const override { return ListOrigin::Normal; }

  std::string Object() const
  {
    return R"({"Metadata":{"Name":"main","Revision":)" + std::to_string(mRevision) +
           R"(},"Spec":{}})";
  }

  void Answer(const std::string& aRequest, const FakeEndpoint::Socket& aSocket)
  {
    const bool isWatch = aRequest.find("Watch=") != std::string::npos;
    if (isWatch && aRequest.find("Watch=" + std::to_string(mRevision) + "&") != std::string::npos &&
        aRequest.find("WaitMs=30000") != std::string::npos) {
      mIsWatched = true;
      return;
    }
    const auto state = R"("AsOf":)" + std::to_string(mRevision) + "}";
    const auto body = isWatch
                        ? R"({"events":[{"Object":)" + Object() + R"(,"Deleted":false}],)" + state
                        : R"({"Items":[)" + Object() + R"(],"HasMore":false,)" + state;
    WriteAll(aSocket,
             "HTTP/1.1 200 -\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body);
  }

  /** Does what a relay does at each tick. */
  void Tick()
  {
    mProbe.Tick();
    mMissed.OnKnownUpTo(mMirror.AsOf(ObjectKind::Config));
    mMissed.OnStoreState(mProbe.State());
    if (mMissed.TakeMissed(std::chrono::steady_clock::now())) {
      ++mCatchUps;
      mWatcher->CatchUp();
    }
  }

  bool RunUntilKnown(std::uint64_t aRevision)
  {
    auto next = std::chrono::steady_clock::now();
    return mRelay.RunUntil([&] {
      if (std::chrono::steady_clock::now() >= next) {
        next += milliseconds(200);
        Tick();
      }
      return mMirror.AsOf(ObjectKind::Config) >= aRevision;
    });
  }

  RelayFixture mRelay;
  std::uint64_t mRevision = 7;
  bool mIsWatched = false; /**< A watch waits for a change. */
  FakeEndpoint mStore{ mRelay.mLoop,
                       [this](const std::string& aRequest, const FakeEndpoint::Socket& aSocket) {
                         Answer(aRequest, aSocket);
                       } };
  StoreMirror mMirror{ [](ObjectKind, const StoreObject&) {} };
  MissedChanges mMissed;
  StoreProbe mProbe{ mRelay.mLoop, mStore.Address() };
  int mCatchUps = 0;
  std::shared_ptr<StoreWatcher> mWatcher = std::make_shared<StoreWatcher>(mRelay.mLoop,
                                                                          mStore.Address(),
                                                                          ObjectKind::Config,
                                                                          mMirror,
                                                                          *this,
                                                                          [] { return 1.0; });
};

} // namespace

TEST_CASE("CONFIG: a change is known soon although the answer to the watch was lost")
{
  // Guards against a revoked key that stays in use until the watch's own timeout, 31.5 s later.
  LostAnswerFixture fixture;
  REQUIRE(fixture.RunUntilKnown(7));
  for (std::uint64_t revision = 8; revision < 10; ++revision) {
    REQUIRE(fixture.mRelay.RunUntil([&] { return fixture.mIsWatched; }));
    fixture.mIsWatched = false;
    fixture.mRevision = revision;
    const auto changed = std::chrono::steady_clock::now();
    REQUIRE(fixture.RunUntilKnown(revision));
    CHECK(std::chrono::steady_clock::now() - changed < milliseconds(2000));
  }
  CHECK(fixture.mCatchUps == 2);
}

TEST_CASE("changes that arrive leave nothing missed, whatever their order and kind")
{
  MissedChanges missed;
  missed.OnKnownUpTo(10);
  missed.OnStoreState(13);
  CHECK_FALSE(missed.TakeMissed(kStart));
  missed.OnChange(13);
  missed.OnChange(11);
  missed.OnChange(12);
  CHECK_FALSE(missed.TakeMissed(kStart + kWait));
  CHECK_FALSE(missed.TakeMissed(kStart + 10 * kWait));
}

TEST_CASE("a revision without a change is missed once the change should have arrived")
{
  MissedChanges missed;
  missed.OnKnownUpTo(10);
  missed.OnChange(12);
  missed.OnStoreState(12);
  CHECK_FALSE(missed.TakeMissed(kStart));
  CHECK_FALSE(missed.TakeMissed(kStart + kWait - milliseconds(1)));
  CHECK(missed.TakeMissed(kStart + kWait) == 12);
  CHECK_FALSE(missed.TakeMissed(kStart + kWait + milliseconds(1)));
  CHECK(missed.TakeMissed(kStart + 2 * kWait) == 12);
  missed.OnKnownUpTo(12);
  CHECK_FALSE(missed.TakeMissed(kStart + 3 * kWait));
}

TEST_CASE("changes in quick succession are not missed while they keep arriving")
{
  MissedChanges missed;
  missed.OnKnownUpTo(10);
  auto now = kStart;
  for (StoreVersion revision = 11; revision < 100; ++revision, now += milliseconds(60)) {
    missed.OnStoreState(revision + 5);
    CHECK_FALSE(missed.TakeMissed(now));
    missed.OnChange(revision);
  }
  CHECK_FALSE(missed.TakeMissed(now));
  CHECK(missed.TakeMissed(now + kWait) == 104);
}

TEST_CASE("a store that returns to an older state in a new era is caught up with")
{
  MissedChanges missed;
  missed.OnKnownUpTo(MakeStoreVersion(1, 50));
  missed.OnStoreState(MakeStoreVersion(2, 20));
  CHECK_FALSE(missed.TakeMissed(kStart));
  CHECK(missed.TakeMissed(kStart + kWait) == MakeStoreVersion(2, 20));
  missed.OnChange(MakeStoreVersion(2, 20));
  missed.OnKnownUpTo(MakeStoreVersion(2, 20));
  CHECK_FALSE(missed.TakeMissed(kStart + 2 * kWait));
}
