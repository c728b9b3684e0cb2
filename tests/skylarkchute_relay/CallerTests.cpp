#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;

TEST_CASE("an answer is passed on whole, with its seal")
{
  RelayFixture relay;
  FakeEndpoint endpoint(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "hello"));
  });
  relay.AddEndpoint("e1", endpoint.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/order/1", "r1", "body"));
  REQUIRE(relay.RunUntil([&] { return answer->find("hello") != std::string::npos; }));
  CHECK(answer->find("HTTP/1.1 200 ") == 0);
  CHECK(answer->find("Skylarkchute-Response-Seal: s1") != std::string::npos);
  REQUIRE(endpoint.mRequests.size() == 1);
  CHECK(endpoint.mRequests[0].find("\r\n\r\nbody") != std::string::npos);
  CHECK(endpoint.mRequests[0].find("Skylarkchute-Expect-Instance: e1") != std::string::npos);
}

TEST_CASE("headers that only the relay sets are not taken from callers")
{
  RelayFixture relay;
  FakeEndpoint endpoint(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "hello"));
  });
  relay.AddEndpoint("e1", endpoint.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(
    caller,
    "GET /check/1 HTTP/1.1\r\nHost: site\r\nSkylarkchute-Request-Id: r1\r\n"
    "skylarkchute-tenant: forged\r\nSkylarkchute-Hold: h\r\nKv-From: a\r\n"
    "Skylarkchute-Credential: secret\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n\r\n");
  REQUIRE(relay.RunUntil([&] { return answer->find("hello") != std::string::npos; }));
  const auto& request = endpoint.mRequests.at(0);
  CHECK(request.find("forged") == std::string::npos);
  CHECK(request.find("Hold") == std::string::npos);
  CHECK(request.find("Kv-From") == std::string::npos);
  CHECK(request.find("secret") == std::string::npos);
  CHECK(request.find("X-Hop") == std::string::npos);
  CHECK(request.find("X-Kept: 2") != std::string::npos);
}

TEST_CASE("a request that arrives before the platform's state is held shortly, then served")
{
  RelayFixture relay;
  const auto config = relay.mRouter.Config();
  relay.mRouter.SetConfig(nullptr);
  relay.mStartupQueue.StartHolding();
  FakeEndpoint endpoint(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "fine"));
  });
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("GET", "/check/1", "r1"));
  relay.RunUntil([end = std::chrono::steady_clock::now() + std::chrono::milliseconds(100)] {
    return std::chrono::steady_clock::now() >= end;
  });
  CHECK(answer->empty());
  relay.mRouter.SetConfig(config);
  relay.AddEndpoint("e1", endpoint.Address());
  relay.mStartupQueue.StopHolding();
  REQUIRE(relay.RunUntil([&] { return answer->find("fine") != std::string::npos; }));
  // The deadline sent to the endpoint excludes the time that the request was held.
  const auto& sent = endpoint.mRequests.at(0);
  const auto field = sent.find("Skylarkchute-Deadline-Ms: ");
  REQUIRE(field != std::string::npos);
  CHECK(std::stoi(sent.substr(field + 26)) <= 2900);
}

TEST_CASE(
  "without the platform's state held requests are refused after the hold, later ones at once")
{
  RelayFixture relay;
  relay.mRouter.SetConfig(nullptr);
  relay.mStartupQueue.StartHolding();
  for (const auto* id : { "r1", "r2" }) {
    const auto caller = relay.Connect();
    const auto answer = relay.ReceiveAsync(caller);
    relay.Send(caller, CallerRequest("GET", "/check/1", id));
    REQUIRE(relay.RunUntil([&] { return answer->find("\r\n\r\n") != std::string::npos; }));
    CHECK(answer->find("HTTP/1.1 503") == 0);
  }
  CHECK_FALSE(relay.mStartupQueue.IsHolding());
}

TEST_CASE("a connection closes after the answer in progress when the process shuts down")
{
  // The head of the stream is sent before shutdown begins, so it has no `Connection: close`.
  RelayFixture relay;
  FakeEndpoint::Socket held;
  FakeEndpoint endpoint(relay.mLoop, [&](const std::string& aRequest, const auto& aSocket) {
    held = aSocket;
    WriteAll(aSocket, StreamResponseHead(aRequest) + EventChunk(1));
  });
  relay.AddEndpoint("e1", endpoint.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "x"));
  REQUIRE(relay.RunUntil([&] { return answer->find("id: 1") != std::string::npos; }));
  relay.mIsLeaving = true;
  WriteAll(held, EventChunk(2) + "0\r\n\r\n");
  REQUIRE(relay.RunUntil([&] { return answer->find("\r\n0\r\n\r\n") != std::string::npos; }));
  CHECK(relay.RunUntil([&] { return relay.mIsClosed.at(0); }));
}

TEST_CASE("a request that might outlast the process is refused as not run")
{
  // Guards against accepting a request that cannot finish before the process exits: a stream
  // accepted 3 s after SIGTERM was cut off at the end of the grace period.
  RelayFixture relay;
  FakeEndpoint endpoint(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "late"));
  });
  relay.AddEndpoint("e1", endpoint.Address());
  relay.mIsLeaving = true;
  relay.mRefusesNew = true;
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "x"));
  REQUIRE(relay.RunUntil([&] { return relay.mIsClosed.at(0); }));
  CHECK(answer->find("HTTP/1.1 503") == 0);
  CHECK(answer->find("Retry-After: 0.02") != std::string::npos);
  CHECK(answer->find("Connection: close") != std::string::npos);
  CHECK(endpoint.mRequests.empty());
}

TEST_CASE("requests are held at the start for as long as the seeds may take to start and to list")
{
  // All relays start again at the same moment, the seeds up to half a second after the others,
  // which have their configuration from them 0.8 s after their own start.
  RelayFixture fixture;
  fixture.mStartupQueue.StartHolding();
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(850);
  fixture.RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
  CHECK(fixture.mStartupQueue.IsHolding());
}

TEST_CASE("the refusal of a HEAD request has no body")
{
  RelayFixture relay;
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("HEAD", "/check/1", "r1"));
  REQUIRE(relay.RunUntil([&] { return answer->find("\r\n\r\n") != std::string::npos; }));
  relay.Send(caller, CallerRequest("GET", "/check/1", "r2"));
  REQUIRE(relay.RunUntil([&] { return answer->find("HTTP/1.1 503", 1) != std::string::npos; }));
  CHECK(answer->substr(answer->find("\r\n\r\n") + 4).find("HTTP/1.1 503") == 0);
}

TEST_CASE("a stream's endpoint that answers a HEAD request leaves no bytes after the head")
{
  RelayFixture relay;
  FakeEndpoint endpoint(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, StreamResponseHead(aRequest));
  });
  relay.AddEndpoint("e1", endpoint.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("HEAD", "/chat/1", "r1"));
  REQUIRE(relay.RunUntil([&] { return answer->find("\r\n\r\n") != std::string::npos; }));
  CHECK(answer->find("HTTP/1.1 200") == 0);
  CHECK(answer->substr(answer->find("\r\n\r\n") + 4).empty());
}

TEST_CASE("a request whose body has no certain end is refused, and what follows it is not read")
{
  const auto* const framing = GENERATE("Transfer-Encoding: gzip",
                                       "Transfer-Encoding: identity",
                                       "Transfer-Encoding: xchunked",
                                       "Transfer-Encoding: chunked, gzip",
                                       "Content-Length: 5\r\nContent-Length: 6",
                                       "Content-Length: 5\r\nTransfer-Encoding: chunked",
                                       "Transfer-Encoding: chunked\r\nContent-Length: 5");
  RelayFixture relay;
  FakeEndpoint endpoint(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "ran"));
  });
  relay.AddEndpoint("e1", endpoint.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller,
             "POST /order/1 HTTP/1.1\r\nHost: site\r\nSkylarkchute-Request-Id: r1\r\n" +
               std::string(framing) + "\r\n\r\n" + CallerRequest("POST", "/order/2", "r2", "x"));
  INFO(framing);
  CHECK(relay.RunUntil([&] { return relay.mIsClosed.at(0); }));
  CHECK(answer->find("HTTP/1.1 400") == 0);
  CHECK(endpoint.mRequests.empty());
}
