#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/store/StoreWatcher.h>

#include <algorithm>
#include <set>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

/** Watchers of all kinds before a stand-in of the store, with the rule of the runtime for retries.
 */
struct WatcherFixture : StoreHealthListener
{
  WatcherFixture()
  {
    for (const auto it : kObjectKinds) {
      mWatchers.push_back(std::make_shared<StoreWatcher>(
        mRelay.mLoop, mStore.Address(), it, mMirror, *this, [] { return 1.0; }));
    }
  }

  void OnStoreSuccess(ObjectKind aKind) override
  {
    mFailed.erase(aKind);
    for (const auto& it : mWatchers) {
      it->RetryNow();
    }
  }
  void OnStoreFailure(ObjectKind aKind, const std::string&) override { mFailed.insert(aKind); }
  bool MayRetry(ObjectKind aKind) const override
  {
    return mFailed.empty() || *mFailed.begin() == aKind;
  }
  ListOrigin OriginOfList() const override { return ListOrigin::Normal; }

  /** Runs the loop for a time. */
  void RunFor(milliseconds aTime)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    mRelay.RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
  }

  RelayFixture mRelay;
  bool mIsAway = true;
  FakeEndpoint mStore{ mRelay.mLoop,
                       [this](const std::string& aRequest, const FakeEndpoint::Socket& aSocket) {
                         const bool isWatch = aRequest.find("Watch=") != std::string::npos;
                         if (mIsAway) {
                           WriteAll(aSocket, "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n");
                         } else if (isWatch && aRequest.find("WaitMs=30000") == std::string::npos) {
                           const std::string body = R"({"events":[],"AsOf":7})";
                           WriteAll(aSocket,
                                    "HTTP/1.1 200 -\r\nContent-Length: " +
                                      std::to_string(body.size()) + "\r\n\r\n" + body);
                         } else if (!isWatch) {
                           const std::string body = R"({"Items":[],"HasMore":false,"AsOf":7})";
                           WriteAll(aSocket,
                                    "HTTP/1.1 200 -\r\nContent-Length: " +
                                      std::to_string(body.size()) + "\r\n\r\n" + body);
                         }
                       } };
  StoreMirror mMirror{ [](ObjectKind, const StoreObject&) {} };
  std::set<ObjectKind> mFailed;
  std::vector<std::shared_ptr<StoreWatcher>> mWatchers;
};

} // namespace

TEST_CASE("while the store is away, one kind tries for all, and all go on once it is back")
{
  // Each kind used to try by itself, so an outage cost four times the calls.
  WatcherFixture fixture;
  for (const auto& it : fixture.mWatchers) {
    it->Restart();
  }
  fixture.RunFor(milliseconds(2200));
  // One call of each kind, then retries after 120, 240, 480 and 960 ms.
  CHECK(fixture.mStore.mRequests.size() <= 4 + 5);
  fixture.mIsAway = false;
  CHECK(fixture.mRelay.RunUntil([&] { return fixture.mFailed.empty(); }));
  for (const auto it : kObjectKinds) {
    CHECK(fixture.mMirror.IsKnown(it));
  }
  for (const auto& it : fixture.mWatchers) {
    it->Stop();
  }
}

TEST_CASE("once the store is back, every kind is served again without waiting for a change")
{
  // A retry that waited for a change left a kind unserved for up to 30 s, in which the store going
  // silent again was not noticed.
  WatcherFixture fixture;
  fixture.mIsAway = false;
  for (const auto& it : fixture.mWatchers) {
    it->Restart();
  }
  REQUIRE(fixture.mRelay.RunUntil([&] {
    return std::all_of(std::begin(kObjectKinds), std::end(kObjectKinds), [&](ObjectKind aKind) {
      return fixture.mMirror.IsKnown(aKind);
    });
  }));
  fixture.mIsAway = true;
  for (const auto& it : fixture.mWatchers) {
    it->Restart();
  }
  REQUIRE(fixture.mRelay.RunUntil([&] { return fixture.mFailed.size() == 4; }));
  fixture.mIsAway = false;
  CHECK(fixture.mRelay.RunUntil([&] { return fixture.mFailed.empty(); }));
  for (const auto& it : fixture.mWatchers) {
    it->Stop();
  }
}

namespace {

/** A watcher of endpoints before a store that lists two of them, then only one. */
struct EndpointListFixture : StoreHealthListener
{
  void OnStoreSuccess(ObjectKind) override {}
  void OnStoreFailure(ObjectKind, const std::string&) override { ++mFailures; }
  bool MayRetry(ObjectKind) const override { return true; }
  ListOrigin OriginOfList() const override { return ListOrigin::Normal; }

  void Answer(const std::string& aRequest, const FakeEndpoint::Socket& aSocket)
  {
    if (mStatus != 0) {
      WriteAll(aSocket, "HTTP/1.1 " + std::to_string(mStatus) + " -\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (aRequest.find("Watch=") != std::string::npos) {
      mWatch = aSocket;
      return;
    }
    const auto object = [](const std::string& aName) {
      return R"({"Metadata":{"Name":")" + aName + R"(","Revision":5},"Spec":{}})";
    };
    const auto body = R"({"Items":[)" + object("e1") +
                      (mHasLeft ? std::string() : "," + object("e2")) +
                      R"(],"HasMore":false,"AsOf":)" + (mHasLeft ? "9" : "7") + "}";
    WriteAll(aSocket,
             "HTTP/1.1 200 -\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body);
  }

  /** Removes `e2` and ends the waiting watch without an answer. */
  void CutWatch()
  {
    mHasLeft = true;
    boost::system::error_code ec;
    mWatch->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec);
    mWatch->close(ec);
    mWatch = nullptr;
  }

  RelayFixture mRelay;
  unsigned mStatus = 0; /**< Of all answers; zero to answer the calls. */
  bool mHasLeft = false;
  int mFailures = 0;
  FakeEndpoint::Socket mWatch; /**< Connection of the waiting watch, or null. */
  FakeEndpoint mStore{ mRelay.mLoop,
                       [this](const std::string& aRequest, const FakeEndpoint::Socket& aSocket) {
                         Answer(aRequest, aSocket);
                       } };
  std::vector<StoreObject> mRemoved;
  StoreMirror mMirror{ [this](ObjectKind, const StoreObject& aObject) {
    if (aObject.mIsDeleted) {
      mRemoved.push_back(aObject);
    }
  } };
  std::shared_ptr<StoreWatcher> mWatcher = std::make_shared<StoreWatcher>(mRelay.mLoop,
                                                                          mStore.Address(),
                                                                          ObjectKind::Endpoints,
                                                                          mMirror,
                                                                          *this,
                                                                          [] { return 1.0; });
};

} // namespace

TEST_CASE("DRAIN: an entry that is missing after a watch was cut off has left")
{
  // Guards against taking one failed call for an outage, in which entries expire: an endpoint that
  // left between the cut and the next list got requests for 2.3 s more.
  EndpointListFixture fixture;
  fixture.mWatcher->Restart();
  REQUIRE(fixture.mRelay.RunUntil([&] { return fixture.mWatch != nullptr; }));
  fixture.CutWatch();
  SECTION("and the next list is answered") {}
  SECTION("and the store refuses the next lists for longer than an outage, but answers")
  {
    fixture.mStatus = 429;
    REQUIRE(fixture.mRelay.RunUntil([&] { return fixture.mFailures >= 6; }));
    fixture.mStatus = 0;
  }
  REQUIRE(fixture.mRelay.RunUntil([&] { return !fixture.mRemoved.empty(); }));
  CHECK(fixture.mRemoved.front().mName == "e2");
  CHECK_FALSE(fixture.mRemoved.front().mMayHaveLapsed);
  fixture.mWatcher->Stop();
}

TEST_CASE("an entry that is missing after the store was away may come back")
{
  EndpointListFixture fixture;
  fixture.mWatcher->Restart();
  REQUIRE(fixture.mRelay.RunUntil([&] { return fixture.mWatch != nullptr; }));
  fixture.mStatus = 503;
  fixture.CutWatch();
  const auto end = std::chrono::steady_clock::now() + StoreWatcher::kOutageAge;
  fixture.mRelay.RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
  fixture.mStatus = 0;
  REQUIRE(fixture.mRelay.RunUntil([&] { return !fixture.mRemoved.empty(); }));
  CHECK(fixture.mRemoved.front().mMayHaveLapsed);
  fixture.mWatcher->Stop();
}
