#include "soak/PortBlock.h"

#include <catch2/catch.hpp>

#include <set>

using skylarkchute::soak::PortBlock;

TEST_CASE("Two soaks beside each other get different ports")
{
  // Guards against relays that cannot listen, since another soak took the port in between.
  PortBlock block;
  PortBlock other;
  std::set<std::uint16_t> ports;
  for (int n = 0; n < 100; ++n) {
    CHECK(ports.insert(block.Next()).second);
    CHECK(ports.insert(other.Next()).second);
  }
}
