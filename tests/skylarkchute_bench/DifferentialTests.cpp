#include <run/FleetRun.h>

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

/** Derives the options of a 20 s run with one fault from a seed. */
RunOptions DrawRun(std::uint64_t aSeed)
{
  const auto faults = FaultNames();
  RunOptions run;
  run.mSeed = aSeed;
  run.mWorkload = aSeed % 2 == 0 ? "call-boxes" : "booking";
  run.mLength = 20s;
  run.mLoad = aSeed % 5 == 0 ? 4 : 1;
  run.mStagePercent = 5;
  run.mFaults.mKind = *FindFault(faults[aSeed % faults.size()]);
  run.mFaults.mFrom = 5s;
  run.mFaults.mUntil = 15s;
  return run;
}

RunRecord RunWith(RunOptions aOptions, const std::string& aRouter)
{
  aOptions.mRouter = aRouter;
  const auto workload = MakeWorkload(aOptions.mWorkload, aOptions.ToWorkloadOptions());
  return FleetRun(*workload, aOptions).Run();
}

} // namespace

TEST_CASE("naive and skylarkchute keep the promises on the same random event sequences")
{
  for (std::uint64_t seed = 1; seed <= 114; ++seed) {
    const auto options = DrawRun(seed);
    const auto naive = RunWith(options, "naive");
    const auto router = RunWith(options, "skylarkchute");
    INFO(options.Text());
    CHECK(naive.mBrokenPromises == std::vector<std::string>{});
    CHECK(router.mBrokenPromises == std::vector<std::string>{});
    // The workload depends on the seed only, so both routers received the same requests.
    REQUIRE(naive.mRequests.size() == router.mRequests.size());
  }
}

TEST_CASE("a run repeats exactly for the same seed")
{
  const auto options = DrawRun(7);
  const auto first = RunWith(options, "skylarkchute");
  const auto second = RunWith(options, "skylarkchute");
  REQUIRE(first.mRequests.size() == second.mRequests.size());
  for (std::size_t n = 0; n < first.mRequests.size(); ++n) {
    REQUIRE(first.mRequests[n].mEnd == second.mRequests[n].mEnd);
    REQUIRE(first.mRequests[n].mServedVersion == second.mRequests[n].mServedVersion);
  }
}
