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

TEST_CASE("an endpoint stops work for a caller that leaves after it has sent more than is buffered")
{
  RelayFixture relay;
  bool isClosed = false;
  FakeEndpoint endpoint(relay.mLoop, [&](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, StreamResponseHead(aRequest) + EventChunk(1));
    aSocket->async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [&](const boost::system::error_code&) { isClosed = true; });
  });
  relay.AddEndpoint("e1", endpoint.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "x"));
  REQUIRE(relay.RunUntil([&] { return answer->find("id: 1") != std::string::npos; }));
  relay.Send(caller, std::string(80 * 1024, 'x'));
  RunFor(relay, milliseconds(100));
  REQUIRE_FALSE(isClosed);
  caller->shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  RunFor(relay, milliseconds(400));
  CHECK(isClosed);
}

TEST_CASE("a stream that waits for an endpoint is not resumed once its caller has left")
{
  RelayFixture relay;
  FakeEndpoint broken(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, StreamResponseHead(aRequest) + EventChunk(1));
    aSocket->close();
  });
  FakeEndpoint other(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, StreamResponseHead(aRequest) + EventChunk(2) + "0\r\n\r\n");
  });
  relay.AddEndpoint("e1", broken.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "x"));
  REQUIRE(relay.RunUntil([&] { return answer->find("id: 1") != std::string::npos; }));
  broken.StopListening();
  RunFor(relay, milliseconds(50));
  relay.AddEndpoint("e2", other.Address());
  caller->close();
  RunFor(relay, milliseconds(600));
  CHECK(other.mRequests.empty());
}
