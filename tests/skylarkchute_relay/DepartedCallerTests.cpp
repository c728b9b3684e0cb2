#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

/** Runs the relay for a while. */
void RunFor(RelayFixture& aRelay, milliseconds aTime)
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  aRelay.RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
}

/** Serves one request, so that the relay keeps a connection to an endpoint. */
void KeepConnection(RelayFixture& aRelay)
{
  const auto caller = aRelay.Connect();
  const auto answer = aRelay.ReceiveAsync(caller);
  aRelay.Send(caller, CallerRequest("GET", "/check/1", "first"));
  REQUIRE(aRelay.RunUntil([&] { return answer->find("done") != std::string::npos; }));
}

} // namespace

TEST_CASE("requests that were queued in a stall are not sent once their callers have left")
{
  RelayFixture relay;
  FakeEndpoint endpoint(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "done"));
  });
  relay.AddEndpoint("e1", endpoint.Address());
  KeepConnection(relay);
  for (int n = 0; n < 5; ++n) {
    const auto caller = relay.Connect();
    relay.Send(caller, CallerRequest("GET", "/check/1", "r" + std::to_string(n)));
    caller->close();
  }
  RunFor(relay, milliseconds(200));
  CHECK(endpoint.mRequests.size() == 1);
}

TEST_CASE("a request held at the start is not sent once its caller has left")
{
  RelayFixture relay;
  FakeEndpoint endpoint(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "done"));
  });
  relay.AddEndpoint("e1", endpoint.Address());
  KeepConnection(relay);
  relay.mStartupQueue.StartHolding();
  const auto caller = relay.Connect();
  relay.Send(caller, CallerRequest("GET", "/check/1", "r1"));
  RunFor(relay, milliseconds(100));
  caller->close();
  relay.mStartupQueue.StopHolding();
  RunFor(relay, milliseconds(200));
  CHECK(endpoint.mRequests.size() == 1);
}

TEST_CASE("an endpoint stops work for a caller that leaves after it has sent more than is buffered",
          "[!shouldfail]")
{
  RelayFixture relay;
  bool isClosed = false;
  FakeEndpoint::Socket held;
  FakeEndpoint endpoint(relay.mLoop, [&](const std::string& aRequest, const auto& aSocket) {
    held = aSocket;
    WriteAll(aSocket, StreamResponseHead(aRequest) + EventChunk(1));
    held->async_wait(boost::asio::ip::tcp::socket::wait_error,
                     [&](const boost::system::error_code&) { isClosed = true; });
  });
  relay.AddEndpoint("e1", endpoint.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "x"));
  REQUIRE(relay.RunUntil([&] { return answer->find("id: 1") != std::string::npos; }));
  relay.Send(caller, std::string(80 * 1024, 'x'));
  RunFor(relay, milliseconds(100));
  caller->close();
  RunFor(relay, milliseconds(300));
  CHECK((isClosed || relay.mServer.IsBusy() == false));
}
