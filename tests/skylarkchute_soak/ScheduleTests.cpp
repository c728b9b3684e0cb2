#include "soak/Schedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <sstream>

using namespace skylarkchute::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string Printed(std::uint64_t aSeed)
{
  std::ostringstream out;
  PrintSchedule(out, MakeSchedule(aSeed, seconds(60), 3));
  return out.str();
}

} // namespace

TEST_CASE("A seed gives the same schedule again, another seed another one")
{
  CHECK(Printed(7) == Printed(7));
  CHECK(Printed(7) != Printed(8));
}

TEST_CASE("A schedule overlaps, is in order, and leaves time to recover")
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const auto schedule = MakeSchedule(seed, seconds(60), 3);
    REQUIRE(schedule.size() > 10);
    bool overlaps = false;
    for (std::size_t n = 1; n < schedule.size(); ++n) {
      const auto& before = schedule[n - 1];
      CHECK(before.mAt <= schedule[n].mAt);
      overlaps = overlaps || before.mAt + before.mDuration > schedule[n].mAt;
      CHECK(schedule[n].mAt + schedule[n].mDuration <= seconds(45));
    }
    CHECK(overlaps);
    CHECK(std::any_of(schedule.begin(), schedule.end(), [](const Fault& it) {
      return it.mKind == FaultKind::PartCrashing;
    }));
  }
}

TEST_CASE("In some schedules all relays are killed in a rollout whose order they then learn late")
{
  int kills = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const auto schedule = MakeSchedule(seed, seconds(120), 3);
    for (std::size_t n = 1; n < schedule.size(); ++n) {
      const auto& before = schedule[n - 1];
      kills += before.mKind == FaultKind::RelaysKilled &&
                   schedule[n].mKind == FaultKind::StoreKindBusy && before.mAt == schedule[n].mAt
                 ? 1
                 : 0;
    }
  }
  CHECK(kills > 10);
}

TEST_CASE("Fifty schedules play each kind of fault")
{
  std::set<FaultKind> kinds;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const auto& it : MakeSchedule(seed, seconds(120), 3)) {
      kinds.insert(it.mKind);
    }
  }
  for (int n = 0; n <= static_cast<int>(FaultKind::TeamsRemoved); ++n) {
    CAPTURE(FaultName(static_cast<FaultKind>(n)));
    CHECK(kinds.count(static_cast<FaultKind>(n)) == 1);
  }
}
