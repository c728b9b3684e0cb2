#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;

namespace {

/** An answer that names the request and says an error. */
std::string ErrorAnswer(const std::string& aRequest, const std::string& aForm)
{
  const std::string text = "error-text";
  if (aForm == "an error") {
    return SealedResponse(aRequest, 500, text);
  }
  if (aForm == "an error without id") {
    return "HTTP/1.1 500 X\r\nContent-Length: 10\r\n\r\n" + text;
  }
  if (aForm == "a rejection") {
    auto answer = SealedResponse(aRequest, 503, text);
    return answer.insert(answer.find("\r\n") + 2, "Skylarkchute-Not-Executed: 1\r\n");
  }
  if (aForm == "an error that ends with its connection") {
    auto answer = SealedResponse(aRequest, 500, text);
    const auto length = answer.find("Content-Length");
    return answer.erase(length, answer.find("\r\n", length) + 2 - length);
  }
  if (aForm == "a success that is no stream") {
    return SealedResponse(aRequest, 200, text);
  }
  if (aForm == "a success that looks like an event") {
    return SealedResponse(aRequest, 200, text + "\n\n");
  }
  return "error-text that is not HTTP\r\n\r\n";
}

} // namespace

TEST_CASE("an error of the endpoint that goes on with a stream does not reach "
          "its caller")
{
  const auto* const form = GENERATE("an error",
                                    "an error without id",
                                    "a rejection",
                                    "an error that ends with its connection",
                                    "a success that is no stream",
                                    "a success that looks like an event",
                                    "no answer in the protocol");
  RelayFixture relay;
  FakeEndpoint first(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, StreamResponseHead(aRequest) + EventChunk(1));
    aSocket->close();
  });
  FakeEndpoint second(relay.mLoop, [&](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, ErrorAnswer(aRequest, form));
    aSocket->close();
  });
  relay.AddEndpoint("first", first.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "x"));
  REQUIRE(relay.RunUntil([&] { return answer->find("id: 1") != std::string::npos; }));
  first.StopListening();
  relay.AddEndpoint("second", second.Address());
  INFO(form);
  CHECK(relay.RunUntil([&] { return relay.mIsClosed.at(0); }));
  CHECK_FALSE(second.mRequests.empty());
  CHECK(answer->find("HTTP/1.1 ", 1) == std::string::npos);
  CHECK(answer->find("error-text") == std::string::npos);
  CHECK(answer->find("\r\n0\r\n\r\n") == std::string::npos);
}
