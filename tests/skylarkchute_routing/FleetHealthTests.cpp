#include "FleetFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace skylarkchute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Simulates endpoints of which some lose a fraction of their requests and answer the rest. Sends
    orders (non-idempotent) and reads (idempotent) in turn, one request every 80 ms. A failed read
    is retried once. */
class PartialFailureSimulation
{
public:
  PartialFailureSimulation(int aEndpoints, std::uint32_t aSeed) : mRandom(aSeed)
  {
    mFleet.AddEndpoints("e", aEndpoints);
  }

  void RunFor(milliseconds aTime)
  {
    constexpr milliseconds kGap{ 80 };
    for (milliseconds at{ 0 }; at < aTime; at += kGap) {
      mFleet.mNow += kGap;
      const bool isOrder = mCount++ % 2 == 0;
      auto plan = mFleet.Admit(isOrder ? "/order/1" : "/check/1");
      bool isServed = Attempt(plan);
      if (!isServed && !isOrder) {
        isServed = Attempt(plan);
      }
      (isOrder ? mOrders : mReads) += 1;
      mLostOrders += isOrder && !isServed ? 1 : 0;
      mLostReads += !isOrder && !isServed ? 1 : 0;
    }
  }

  FleetFixture mFleet;
  std::map<std::string, double> mLossRates; /**< Fraction of its requests that an endpoint loses. */
  std::map<std::string, int> mSent;
  int mOrders = 0;
  int mReads = 0;
  int mLostOrders = 0;
  int mLostReads = 0;

private:
  bool Attempt(RequestPlan& aPlan)
  {
    const auto decision = mFleet.mRouter.NextAttempt(aPlan, false, mFleet.mNow);
    if (!std::holds_alternative<AttemptPlan>(decision)) {
      return false;
    }
    const auto& attempt = std::get<AttemptPlan>(decision);
    ++mSent[attempt.mEndpoint.Value()];
    mFleet.mRouter.OnSent(aPlan, attempt, mFleet.mNow);
    const double draw = std::uniform_real_distribution<double>(0, 1)(mRandom);
    const bool fails = draw < mLossRates[attempt.mEndpoint.Value()];
    if (!fails) {
      mFleet.mRouter.OnFirstByte(aPlan, attempt, milliseconds(20), mFleet.mNow);
    }
    mFleet.mRouter.OnEnded(
      aPlan, attempt, fails ? RelayOutcome::Lost : RelayOutcome::Answered, mFleet.mNow);
    return !fails;
  }

  std::mt19937 mRandom;
  int mCount = 0;
};

} // namespace

TEST_CASE("fleet: of two endpoints the one that loses its runs gets few requests that run once")
{
  int lost = 0;
  int orders = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    PartialFailureSimulation simulation(2, seed);
    simulation.RunFor(seconds(2));
    REQUIRE(simulation.mLostOrders == 0);
    simulation.mLossRates["e0"] = 0.4;
    simulation.RunFor(seconds(4));
    lost += simulation.mLostOrders;
    orders += 25;
  }
  // Without health data a fifth of the orders would be lost. One in twenty allows for the losses by
  // which an instance detects the failing endpoint.
  CHECK(lost <= orders / 20);
}

TEST_CASE("fleet: an endpoint that is well again gets its part back within seconds")
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    PartialFailureSimulation simulation(2, seed);
    simulation.mLossRates["e0"] = 0.4;
    simulation.RunFor(seconds(5));
    simulation.mLossRates["e0"] = 0;
    simulation.RunFor(seconds(10));
    simulation.mSent.clear();
    simulation.RunFor(seconds(5));
    CHECK(simulation.mSent["e0"] >= 15);
  }
}

TEST_CASE("fleet: where all endpoints fail alike none is left out")
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    PartialFailureSimulation simulation(3, seed);
    for (const auto* it : { "e0", "e1", "e2" }) {
      simulation.mLossRates[it] = 0.3;
    }
    simulation.RunFor(seconds(10));
    // The two endpoints in the router's availability zone.
    for (const auto* it : { "e0", "e2" }) {
      CHECK(simulation.mSent[it] >= 125 / 4);
    }
  }
}
