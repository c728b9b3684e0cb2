#include <skylarkchute_platform/skylarkchute_platform.h>
#include <standins/platform/PlatformStandIn.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

struct Platform
{
  standins::PlatformStandIn mStandin{ 0 };
  ObjectApiClient mClient{ "127.0.0.1", mStandin.Port() };

  ObjectReply Call(ObjectOperation aOperation)
  {
    return mClient.Call({ 7, CallPurpose::Bundle, std::move(aOperation), 2000ms });
  }
};

/** Answers one call with fixed bytes and closes or resets the connection. */
ObjectReply CallAnsweredWith(const std::string& aAnswer, bool aIsReset, ObjectOperation aOperation)
{
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::thread server([&] {
    auto socket = listener.acceptConnection();
    std::array<char, 4096> buf{};
    socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
    socket.sendBytes(aAnswer.data(), static_cast<int>(aAnswer.size()));
    std::this_thread::sleep_for(20ms);
    socket.setLinger(aIsReset, 0);
  });
  ObjectApiClient client("127.0.0.1", listener.address().port());
  auto reply = client.Call({ 7, CallPurpose::Bundle, std::move(aOperation), 2000ms });
  server.join();
  return reply;
}

} // namespace

TEST_CASE("MIXED: an object that was cut off is never taken for a whole one")
{
  const std::string head = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n";
  const auto answer = GENERATE_COPY(head + "\r\npart",
                                    head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
                                    head + "Transfer-Encoding: chunked\r\n\r\n9\r\npart",
                                    head + "Content-Length: 9\r\n\r\npart",
                                    head + "Content-Le",
                                    head);
  const bool isReset = GENERATE(false, true);
  CAPTURE(answer, isReset);
  CHECK(CallAnsweredWith(answer, isReset, GetObject{ "key" }).mStatus != ObjectStatus::Ok);
  CHECK(CallAnsweredWith(answer, isReset, PutObject{ "key", "v", std::nullopt }).mStatus ==
        ObjectStatus::Unknown);
}

TEST_CASE("a conditional write through the client succeeds only once per version")
{
  Platform platform;
  const auto first = platform.Call(PutObject{ "a/b c", "one", std::nullopt });
  CHECK(first.mStatus == ObjectStatus::Ok);
  CHECK(platform.Call(PutObject{ "a/b c", "two", std::nullopt }).mStatus == ObjectStatus::Conflict);
  CHECK(platform.Call(PutObject{ "a/b c", "two", first.mVersion }).mStatus == ObjectStatus::Ok);
  CHECK(platform.Call(PutObject{ "a/b c", "three", first.mVersion }).mStatus ==
        ObjectStatus::Conflict);
  const auto read = platform.Call(GetObject{ "a/b c" });
  CHECK(read.mBody == "two");
  CHECK(read.mId == 7);
  CHECK(platform.Call(ListObjects{ "a/" }).mEntries.size() == 1);
}

TEST_CASE("an answer lost after the write took effect is unknown and can be read back")
{
  Platform platform;
  standins::PlatformFaults faults;
  faults.mLostAnswers = 1;
  platform.mStandin.Switches().SetFaults(faults);
  CHECK(platform.Call(PutObject{ "key", "value", std::nullopt }).mStatus == ObjectStatus::Unknown);
  CHECK(platform.Call(GetObject{ "key" }).mBody == "value");
}

TEST_CASE("an outage is unavailable and certainly wrote nothing")
{
  Platform platform;
  standins::PlatformFaults faults;
  faults.mOutage = true;
  platform.mStandin.Switches().SetFaults(faults);
  CHECK(platform.Call(PutObject{ "key", "value", std::nullopt }).mStatus ==
        ObjectStatus::Unavailable);
  platform.mStandin.Switches().SetFaults({});
  CHECK(platform.Call(GetObject{ "key" }).mStatus == ObjectStatus::NotFound);
}

TEST_CASE("a watch returns changes after its position, deletions too")
{
  Platform platform;
  platform.Call(PutObject{ "w/1", "one", std::nullopt });
  const auto first = platform.Call(WatchObjects{ "w/", 0, 1000ms });
  REQUIRE(first.mEntries.size() == 1);
  platform.Call(DeleteObject{ "w/1" });
  const auto second = platform.Call(WatchObjects{ "w/", first.mPosition, 1000ms });
  REQUIRE(second.mEntries.size() == 1);
  CHECK(second.mEntries.front().mDeleted);
}

TEST_CASE("a platform that cannot be reached is unavailable")
{
  ObjectApiClient client("127.0.0.1", 1);
  const auto reply =
    client.Call({ 1, CallPurpose::Claim, PutObject{ "key", "value", std::nullopt }, 500ms });
  CHECK(reply.mStatus == ObjectStatus::Unavailable);
}

TEST_CASE("the instance list reports leaving instances")
{
  Platform platform;
  Json::Value entry(Json::objectValue);
  entry["id"] = "engine-1";
  entry["address"] = "127.0.0.1";
  entry["port"] = 9000;
  entry["zone"] = "northway";
  entry["kind"] = "engine";
  entry["state"] = "leaving";
  platform.mStandin.Instances().Put(entry);
  InstanceListClient client("127.0.0.1", platform.mStandin.Port());
  const auto list = client.Read(0, 1000ms);
  REQUIRE(list);
  REQUIRE(list->mInstances.size() == 1);
  CHECK(list->mInstances.front().mLeaving);
  CHECK(list->mInstances.front().mZone == ZoneName("northway"));
}

TEST_CASE("an instance list entry of an unknown kind is an error that names it")
{
  std::string text;
  boost::leaf::try_handle_all(
    []() -> boost::leaf::result<void> {
      BOOST_LEAF_CHECK(ParseInstanceList(
        R"({"position":1,"instances":[{"id":"x","address":"127.0.0.1","kind":"toaster"}]})"));
      return {};
    },
    [&](const Faults& aFaults) { text = aFaults.Text(); },
    [] {});
  CHECK(text.find("[x] kind") != std::string::npos);
}
