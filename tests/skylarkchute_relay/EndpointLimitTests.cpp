#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

constexpr double kLimitPerSecond = 2;

/** The load: far more than the limit allows, also if half of it went to the other endpoint. */
constexpr milliseconds kLoadTime{ 2400 };
constexpr milliseconds kRequestInterval{ 30 };
constexpr int kCallers = 4;

/** Requests that an endpoint may get in any four seconds; what is sent in the first half second
    after the limit was first named does not count. */
constexpr double kAllowedRequests = 1.5 * 4 * kLimitPerSecond + 5;
constexpr milliseconds kNoticeTime{ 500 };

} // namespace

TEST_CASE("an endpoint that names a limit gets no more requests than that")
{
  RelayFixture relay;
  std::size_t counted = 0;
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed = [&] { return std::chrono::steady_clock::now() - start; };
  FakeEndpoint limited(relay.mLoop, [&](const std::string& aRequest, const auto& aSocket) {
    counted += elapsed() > kNoticeTime ? 1 : 0;
    auto answer = SealedResponse(aRequest, 200, "x");
    answer.insert(answer.find("\r\n") + 2, "Server-Limit: 2.0\r\n");
    WriteAll(aSocket, answer);
  });
  FakeEndpoint other(relay.mLoop, [](const std::string& aRequest, const auto& aSocket) {
    WriteAll(aSocket, SealedResponse(aRequest, 200, "x"));
  });
  relay.AddEndpoint("limited", limited.Address());
  relay.AddEndpoint("other", other.Address());
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> callers;
  for (int n = 0; n < kCallers; ++n) {
    callers.push_back(relay.Connect());
    relay.ReceiveAsync(callers.back());
  }
  int sent = 0;
  while (elapsed() < kLoadTime) {
    for (const auto& it : callers) {
      relay.Send(it, CallerRequest("GET", "/check/1", "r" + std::to_string(++sent)));
    }
    const auto next = std::chrono::steady_clock::now() + kRequestInterval;
    relay.RunUntil([&] { return std::chrono::steady_clock::now() >= next; });
  }
  REQUIRE(sent > 6 * kAllowedRequests);
  CHECK(static_cast<double>(counted) <= kAllowedRequests);
}
