#include "RelayFixture.h"

#include <Poco/URI.h>
#include <catch2/catch.hpp>
#include <skylarkchute_relay/store/StoreWatcher.h>

#include <algorithm>
#include <map>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

/** Names of objects of other writers. */
const std::vector<std::string> kOddNames = { "b&c",  "b+c",   "b#c",       "b%c",
                                             "b c",  "b%2Bc", "b=c",       "b?c",
                                             "b/c",  "b;c",   "b\r\nX: y", "b\xc3\xa5",
                                             "b\"c", "b\\c",  "&",         "b&AfterRevision=z" };

std::string ParameterOf(const Poco::URI& aTarget, const std::string& aName)
{
  for (const auto& [name, value] : aTarget.getQueryParameters()) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

/** Returns the target of a request's first line, empty unless the line has three words. */
std::string TargetOf(const std::string& aRequest)
{
  const auto line = aRequest.substr(0, aRequest.find("\r\n"));
  if (std::count(line.begin(), line.end(), ' ') != 2) {
    return {};
  }
  const auto start = line.find(' ') + 1;
  return line.substr(start, line.rfind(' ') - start);
}

/** Stands in a name for half of a surrogate pair, which no JSON reader accepts. */
constexpr char kUnreadable = '\xff';

std::string JsonItem(const std::string& aName)
{
  std::string escaped;
  for (const char it : aName) {
    if (it == kUnreadable) {
      escaped += R"(\ud800)";
      continue;
    }
    escaped += it == '"' || it == '\\' ? std::string("\\") + it : std::string(1, it);
  }
  return R"({"Metadata":{"Name":")" + escaped + R"(","Revision":3},"Spec":{}})";
}

/** A watcher of the endpoints before a stand-in of the store that lists in pages and decodes the
    names it is given as a query. */
struct PagedStoreFixture : StoreHealthListener
{
  PagedStoreFixture(std::vector<std::string> aNames, int aPageSize)
    : mNames(std::move(aNames))
    , mPageSize(aPageSize)
  {
    std::sort(mNames.begin(), mNames.end());
    mWatcher->Restart();
  }

  ~PagedStoreFixture() override { mWatcher->Stop(); }

  void OnStoreSuccess(ObjectKind) override {}
  void OnStoreFailure(ObjectKind, const std::string& aReason) override
  {
    mReasons.push_back(aReason);
  }
  bool MayRetry(ObjectKind) const override { return true; }
  ListOrigin OriginOfList() const override { return ListOrigin::Normal; }

  static void Respond(const FakeEndpoint::Socket& aSocket, const std::string& aBody)
  {
    WriteAll(aSocket,
             "HTTP/1.1 200 -\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
               aBody);
  }

  void Answer(const std::string& aRequest, const FakeEndpoint::Socket& aSocket)
  {
    const Poco::URI target(TargetOf(aRequest));
    if (!ParameterOf(target, "Watch").empty()) {
      if (ParameterOf(target, "WaitMs") != "30000") {
        Respond(aSocket, R"({"events":[],"AsOf":9})");
      }
      return;
    }
    const auto after = mIgnoresAfter ? std::string() : ParameterOf(target, "AfterRevision");
    auto it = std::upper_bound(mNames.begin(), mNames.end(), after);
    std::string items;
    for (int n = 0; n < mPageSize && it != mNames.end(); ++n, ++it) {
      items += (n > 0 ? "," : "") + JsonItem(*it);
    }
    const auto body = R"({"Items":[)" + items + R"(],"HasMore":)" +
                      (it == mNames.end() ? "false" : "true") + R"(,"AsOf":9})";
    Respond(aSocket, body);
  }

  RelayFixture mRelay;
  std::vector<std::string> mNames;
  int mPageSize;
  bool mIgnoresAfter = false;
  FakeEndpoint mStore{ mRelay.mLoop,
                       [this](const std::string& aRequest, const FakeEndpoint::Socket& aSocket) {
                         Answer(aRequest, aSocket);
                       } };
  StoreMirror mMirror{ [](ObjectKind, const StoreObject&) {} };
  std::vector<std::string> mReasons;
  std::shared_ptr<StoreWatcher> mWatcher = std::make_shared<StoreWatcher>(mRelay.mLoop,
                                                                          mStore.Address(),
                                                                          ObjectKind::Endpoints,
                                                                          mMirror,
                                                                          *this,
                                                                          [] { return 1.0; });
};

} // namespace

TEST_CASE("RECOVER: a list goes on after an object whose name needs encoding")
{
  // Guards against instances that never get ready since a name ends a page of the list of endpoints
  // and is sent unencoded, so that the same page is listed again and again.
  const auto odd = GENERATE("b&c", "b+c", "b#c", "b%c", "b c", "b%2Bc");
  CAPTURE(odd);
  PagedStoreFixture fixture({ "a", odd, "c", "d", "e" }, 1);
  REQUIRE(fixture.mRelay.RunUntil([&] { return fixture.mMirror.IsKnown(ObjectKind::Endpoints); }));
  CHECK(fixture.mMirror.Snapshot(ObjectKind::Endpoints).mObjects.size() == 5);
  CHECK(fixture.mMirror.Find(ObjectKind::Endpoints, odd) != nullptr);
  CHECK(fixture.mReasons.empty());
}

TEST_CASE("names of objects are encoded in the targets of all calls")
{
  // Guards against calls on another object than the named one, and against requests that a name
  // splits in two.
  const auto name = GENERATE(from_range(kOddNames));
  CAPTURE(name);
  const Poco::URI list(ListTarget(ObjectKind::Endpoints, name));
  CHECK(list.getQueryParameters().size() == 1);
  CHECK(ParameterOf(list, "AfterRevision") == name);
  const std::string path = "/skylarkchute/objects/rollouts/" + name;
  CHECK(Poco::URI(ObjectTarget(ObjectKind::Rollouts, name)).getPath() == path);
  CHECK(Poco::URI(StatusTarget(ObjectKind::Rollouts, name)).getPath() == path + "/status");
  const Poco::URI remove(DeleteTarget(ObjectKind::Rollouts, name, 7));
  CHECK(remove.getPath() == path);
  CHECK(ParameterOf(remove, "Revision") == "7");
  const auto target = ObjectTarget(ObjectKind::Rollouts, name);
  CHECK(std::count(target.begin(), target.end(), '/') == 4);
  CHECK(target.find_first_of(" \r\n#?&+") == std::string::npos);
}

TEST_CASE("a list that makes no progress fails and is tried again after a pause")
{
  // Guards against the same page being listed without a pause at the cost of the store's rates.
  PagedStoreFixture fixture({ "a", "b", "c" }, 2);
  fixture.mIgnoresAfter = true;
  const auto end = std::chrono::steady_clock::now() + milliseconds(1000);
  fixture.mRelay.RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
  // Two pages a try, and pauses of 120, 240 and 480 ms.
  CHECK(fixture.mStore.mRequests.size() <= 2 * 4);
  REQUIRE_FALSE(fixture.mReasons.empty());
  CHECK(fixture.mReasons.front().find("\"b\"") != std::string::npos);
  CHECK_FALSE(fixture.mMirror.IsKnown(ObjectKind::Endpoints));
  fixture.mIgnoresAfter = false;
  CHECK(fixture.mRelay.RunUntil([&] { return fixture.mMirror.IsKnown(ObjectKind::Endpoints); }));
}

TEST_CASE("a page without a readable object does not end a list")
{
  // Guards against objects being removed since the page before them could not be read.
  const std::string unreadable(1, kUnreadable);
  PagedStoreFixture fixture({ "a", "b", unreadable + "1", unreadable + "2", unreadable + "3" }, 2);
  CHECK(fixture.mRelay.RunUntil([&] { return !fixture.mReasons.empty(); }));
  CHECK_FALSE(fixture.mMirror.IsKnown(ObjectKind::Endpoints));
}
