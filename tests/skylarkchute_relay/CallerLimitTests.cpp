#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

/** A relay whose configuration changes its limits while callers keep their connections. */
struct ChangingLimits : RelayFixture
{
  ChangingLimits() { AddEndpoint("e1", mEndpoint.Address()); }

  void SetLimits(const CallerLimits& aLimits)
  {
    auto config = mRouter.Config()->Config();
    ++config.mVersion;
    config.mLimits = aLimits;
    mRouter.SetConfig(std::make_shared<const ConfigIndex>(std::move(config)));
  }

  /** Sends a request and returns the first line of its answer. */
  std::string Exchange(const std::shared_ptr<boost::asio::ip::tcp::socket>& aCaller,
                       const std::shared_ptr<std::string>& aAnswer,
                       const std::string& aRequest)
  {
    aAnswer->clear();
    Send(aCaller, aRequest);
    RunUntil([&] { return aAnswer->find("\r\n\r\n") != std::string::npos; });
    return aAnswer->substr(0, aAnswer->find("\r\n"));
  }

  FakeEndpoint mEndpoint{ mLoop, [](const std::string& aRequest, const auto& aSocket) {
                           WriteAll(aSocket, SealedResponse(aRequest, 200, ""));
                         } };
};

std::string WithField(std::string aRequest, std::size_t aBytes)
{
  return aRequest.insert(aRequest.find("\r\n") + 2, "X: " + std::string(aBytes, 'x') + "\r\n");
}

} // namespace

TEST_CASE("DENIED: limits that a configuration changes hold on connections that are kept over it")
{
  // Guards against 413 and 431 by limits that are no longer in force.
  CallerLimits low;
  low.mMaxBodyBytes = 1000;
  low.mMaxHeaderBytes = 1000;
  CallerLimits high;
  high.mMaxBodyBytes = 10000;
  high.mMaxHeaderBytes = 10000;
  const bool isRaised = GENERATE(true, false);
  const bool isBody = GENERATE(true, false);
  CAPTURE(isRaised, isBody);
  ChangingLimits relay;
  relay.SetLimits(isRaised ? low : high);
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  CHECK(relay.Exchange(caller, answer, CallerRequest("POST", "/order/1", "r1", "x")) ==
        "HTTP/1.1 200 OK");
  relay.SetLimits(isRaised ? high : low);
  const auto request = isBody ? CallerRequest("POST", "/order/1", "r2", std::string(5000, 'x'))
                              : WithField(CallerRequest("GET", "/check/1", "r2"), 5000);
  const auto status = relay.Exchange(caller, answer, request).substr(0, 12);
  CHECK(status == (isRaised ? "HTTP/1.1 200" : isBody ? "HTTP/1.1 413" : "HTTP/1.1 431"));
}

TEST_CASE("a longer idle timeout holds on connections that are idle when it comes into force")
{
  CallerLimits limits;
  limits.mIdleTimeout = milliseconds(100);
  ChangingLimits relay;
  relay.SetLimits(limits);
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  CHECK(relay.Exchange(caller, answer, CallerRequest("GET", "/check/1", "r1")) ==
        "HTTP/1.1 200 OK");
  limits.mIdleTimeout = milliseconds(10000);
  relay.SetLimits(limits);
  // The former timeout and the margin for callers.
  const auto end = std::chrono::steady_clock::now() + milliseconds(2400);
  relay.RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
  CHECK_FALSE(relay.mIsClosed.at(0));
  CHECK(relay.Exchange(caller, answer, CallerRequest("GET", "/check/1", "r2")) ==
        "HTTP/1.1 200 OK");
}
