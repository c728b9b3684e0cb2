#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/store/StoreProbe.h>

using namespace skylarkchute;

TEST_CASE("a store that accepts calls and does not answer them is found to be silent")
{
  RelayFixture fixture;
  bool isSilent = false;
  FakeEndpoint store(fixture.mLoop,
                     [&](const std::string& aRequest, const FakeEndpoint::Socket& aSocket) {
                       CHECK(aRequest.find("AllowStale=1") != std::string::npos);
                       if (!isSilent) {
                         WriteAll(aSocket, "HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n");
                       }
                     });
  StoreProbe probe(fixture.mLoop, store.Address());
  probe.Tick();
  REQUIRE(fixture.RunUntil([&] { return !probe.IsSilent(std::chrono::steady_clock::now()); }));
  isSilent = true;
  probe.Tick();
  const auto answered = probe.AnsweredAt();
  CHECK(fixture.RunUntil([&] { return probe.IsSilent(std::chrono::steady_clock::now()); }));
  CHECK(probe.AnsweredAt() == answered);
  probe.Stop();
}
