#include "FleetSimulation.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr seconds kStartTime{ 8 };

/** Within this time, all instances know that one has stopped. */
constexpr seconds kDetectionTime{ 8 };

/** Within this time, all instances know one that runs again, or that a cut has ended. */
constexpr seconds kRejoinTime{ 15 };

} // namespace

TEST_CASE("no live instance is called dead at rest, whatever the size of the fleet")
{
  // The exchange between random pairs that this replaces called living instances dead once the
  // fleet had more than about 50: at 71 instances, 18,421 times in 58 s.
  const auto size = GENERATE(std::size_t{ 9 }, std::size_t{ 71 }, std::size_t{ 295 });
  FleetSimulation fleet(size, 5, 11);
  fleet.SetLoss(0.01);
  fleet.Run(kStartTime);
  REQUIRE(fleet.IsAgreed());
  const auto changes = fleet.Changes();
  fleet.Run(minutes(10));
  CHECK(fleet.FalseDeaths() == 0);
  CHECK(fleet.Changes() == changes);
  CHECK(fleet.IsAgreed());
}

TEST_CASE("an instance that stops is known to all within a time that does not depend on the size")
{
  const auto size = GENERATE(std::size_t{ 9 }, std::size_t{ 71 }, std::size_t{ 295 });
  const auto seed = GENERATE(std::uint64_t{ 21 }, std::uint64_t{ 22 }, std::uint64_t{ 23 });
  FleetSimulation fleet(size, 5, seed);
  fleet.SetLoss(0.01);
  fleet.Run(kStartTime);
  fleet.Kill(size / 2);
  fleet.Run(kDetectionTime);
  CHECK(fleet.IsAgreed());
  CHECK(fleet.FalseDeaths() == 0);
}

TEST_CASE("a fifth of the fleet that freezes for four seconds and wakes is back")
{
  const auto size = GENERATE(std::size_t{ 9 }, std::size_t{ 295 });
  FleetSimulation fleet(size, 5, 31);
  fleet.SetLoss(0.01);
  fleet.Run(kStartTime);
  for (std::size_t n = 0; n < size; n += 5) {
    fleet.Freeze(n, true);
  }
  fleet.Run(seconds(4));
  for (std::size_t n = 0; n < size; n += 5) {
    fleet.Freeze(n, false);
  }
  fleet.Run(kRejoinTime);
  CHECK(fleet.IsAgreed());
}

TEST_CASE("two halves that were cut off from each other join again")
{
  const auto size = GENERATE(std::size_t{ 9 }, std::size_t{ 295 });
  FleetSimulation fleet(size, 5, 41);
  fleet.Run(kStartTime);
  fleet.CutBelow(size / 2);
  fleet.Run(seconds(30));
  CHECK(fleet.Members(0).LiveCount() == size / 2);
  fleet.CutBelow(0);
  fleet.Run(kRejoinTime);
  CHECK(fleet.IsAgreed());
}

TEST_CASE("half of the fleet started again at the same moment is known by its new incarnations")
{
  const auto size = GENERATE(std::size_t{ 9 }, std::size_t{ 295 });
  FleetSimulation fleet(size, 5, 51);
  fleet.Run(kStartTime);
  for (std::size_t n = 0; n < size; n += 2) {
    fleet.Kill(n);
  }
  fleet.Run(seconds(1));
  for (std::size_t n = 0; n < size; n += 2) {
    fleet.Start(n);
  }
  fleet.Run(kRejoinTime);
  CHECK(fleet.IsAgreed());
}
