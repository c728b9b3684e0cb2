#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

/** A relay before an endpoint that puts a header into its answers, and another one. */
struct NoticeFixture
{
  NoticeFixture() { mRelay.AddEndpoint("first", mFirst.Address()); }

  void AddOther() { mRelay.AddEndpoint("other", mOther.Address()); }

  /** Sends requests one after the other, each after the answer to the one before.
      @returns the answers */
  std::string Send(int aCount)
  {
    const auto caller = mRelay.Connect();
    const auto answers = mRelay.ReceiveAsync(caller);
    for (int n = 1; n <= aCount; ++n) {
      mRelay.Send(caller, CallerRequest("GET", "/check/1", "r" + std::to_string(++mSent)));
      std::size_t seen = 0;
      REQUIRE(mRelay.RunUntil([&] {
        seen = 0;
        for (auto at = answers->find("HTTP/1.1"); at != std::string::npos;
             at = answers->find("HTTP/1.1", at + 1)) {
          ++seen;
        }
        return seen == static_cast<std::size_t>(n);
      }));
    }
    return *answers;
  }

  RelayFixture mRelay;
  unsigned mStatus = 200;
  std::string mHeader; /**< Header line of the first endpoint's answers, with its end. */
  int mSent = 0;
  FakeEndpoint mFirst{ mRelay.mLoop, [this](const std::string& aRequest, const auto& aSocket) {
                        auto answer = SealedResponse(aRequest, mStatus, "x");
                        answer.insert(answer.find("\r\n") + 2, mHeader);
                        WriteAll(aSocket, answer);
                      } };
  FakeEndpoint mOther{ mRelay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
                        WriteAll(aSocket, SealedResponse(aRequest, 200, "x"));
                      } };
};

constexpr const char* kPause = "Retry-After: 0.6\r\nSkylarkchute-Not-Executed: 1\r\n";

} // namespace

TEST_CASE("an endpoint that says that it leaves gets nothing more, not even as the last one")
{
  NoticeFixture fixture;
  fixture.mHeader = "Server-Leaving: 1\r\n";
  fixture.Send(1);
  CHECK(fixture.mFirst.mRequests.size() == 1);
  CHECK(fixture.Send(3).find("503") != std::string::npos);
  CHECK(fixture.mFirst.mRequests.size() == 1);
  fixture.AddOther();
  fixture.Send(5);
  CHECK(fixture.mFirst.mRequests.size() == 1);
  CHECK(fixture.mOther.mRequests.size() == 5);
}

TEST_CASE("an endpoint that asks for a pause gets nothing until its end")
{
  NoticeFixture fixture;
  fixture.mStatus = 503;
  fixture.mHeader = kPause;
  const auto start = std::chrono::steady_clock::now();
  const auto isOver = [&] { return std::chrono::steady_clock::now() - start > milliseconds(700); };
  CHECK(fixture.Send(1).find("503") != std::string::npos);
  CHECK(fixture.Send(10).find("Retry-After: 0.") != std::string::npos);
  CHECK(fixture.mFirst.mRequests.size() == 1);
  fixture.mStatus = 200;
  fixture.mHeader.clear();
  REQUIRE(fixture.mRelay.RunUntil(isOver));
  CHECK(fixture.Send(10).find("503") == std::string::npos);
  CHECK(fixture.mFirst.mRequests.size() == 11);
}

TEST_CASE("while one endpoint pauses, the others get its requests")
{
  NoticeFixture fixture;
  fixture.mStatus = 503;
  fixture.mHeader = kPause;
  fixture.Send(1);
  fixture.AddOther();
  CHECK(fixture.Send(10).find("503") == std::string::npos);
  CHECK(fixture.mFirst.mRequests.size() == 1);
}

TEST_CASE("a pause is kept to whatever the answer that names it looks like")
{
  RelayFixture relay;
  std::string form;
  FakeEndpoint first(relay.mLoop, [&](const std::string& aRequest, const auto& aSocket) {
    const auto id = aRequest.find("Skylarkchute-Request-Id: ");
    const auto idLine = aRequest.substr(id, aRequest.find("\r\n", id) - id) + "\r\n";
    WriteAll(aSocket, "HTTP/1.1 503 X\r\n" + idLine + form);
    aSocket->close();
  });
  FakeEndpoint other(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "done"));
  });
  const std::string notRun = "Skylarkchute-Not-Executed: 1\r\n";
  SECTION("with a length")
  {
    form = notRun + "Retry-After: 2\r\nContent-Length: 0\r\n\r\n";
  }
  SECTION("with a fraction")
  {
    form = notRun + "Retry-After:  1.5 \r\nContent-Length: 0\r\n\r\n";
  }
  SECTION("without a length")
  {
    form = notRun + "Retry-After: 2\r\n\r\nbusy";
  }
  SECTION("in chunks")
  {
    form = notRun + "Retry-After: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  }
  SECTION("broken off in its body")
  {
    form = notRun + "Retry-After: 2\r\nContent-Length: 9\r\n\r\nbu";
  }
  SECTION("without saying that it did not run the request")
  {
    form = "Retry-After: 2\r\nSkylarkchute-Response-Seal: s\r\nContent-Length: 0\r\n\r\n";
  }
  relay.AddEndpoint("first", first.Address());
  for (int n = 0; n < 6; ++n) {
    const auto caller = relay.Connect();
    const auto answer = relay.ReceiveAsync(caller);
    relay.Send(caller, CallerRequest("GET", "/check/1", "r" + std::to_string(n)));
    REQUIRE(relay.RunUntil([&] { return answer->find("\r\n\r\n") != std::string::npos; }));
    relay.AddEndpoint("other", other.Address());
  }
  CHECK(first.mRequests.size() == 1);
  CHECK(other.mRequests.size() >= 5);
}
