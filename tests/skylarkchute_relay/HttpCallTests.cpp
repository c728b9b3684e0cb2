#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/net/HttpCall.h>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("an answer that comes after its call was given up reaches nobody")
{
  // Guards against a crash on a response that arrives after its call has timed out. An instance
  // that resumed after a freeze answered its peers' calls of 3 s before, and all of them crashed.
  RelayFixture relay;
  FakeEndpoint::Socket late;
  FakeEndpoint server(relay.mLoop, [&](const std::string&, const FakeEndpoint::Socket& aSocket) {
    if (!late) {
      late = aSocket;
      return;
    }
    WriteAll(aSocket, kAnswer);
  });
  const auto call = std::make_shared<HttpCall>(relay.mLoop, server.Address());
  std::vector<bool> answers;
  const auto record = [&](const CallResult& aResult) { answers.push_back(aResult.mHasResponse); };
  call->Start("GET", "/a", {}, milliseconds(60), record);
  REQUIRE(relay.RunUntil([&] { return answers.size() == 1; }));
  REQUIRE(late != nullptr);
  WriteAll(late, kAnswer);
  int iterations = 0;
  relay.RunUntil([&] { return ++iterations > 5; });
  CHECK(answers == std::vector<bool>{ false });
  call->Start("GET", "/b", {}, milliseconds(2000), record);
  REQUIRE(relay.RunUntil([&] { return answers.size() == 2; }));
  CHECK(answers.back());
}
