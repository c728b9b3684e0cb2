#include <skylarkchute_routing/policy/health/VersionBreaker.h>
#include <skylarkchute_routing/policy/health/VersionHealth.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

const VersionId kOld("field-note/v1");
const VersionId kNew("field-note/v2");
constexpr int kTeams = 10;

/** How one version answers. */
struct Behaviour
{
  double mErrors = 0.01;
  double mTimeouts = 0.005;
  double mGood = 0.92;
  double mSlowness = 1;
};

/** Feeds a health test with attempts of both versions drawn from a seed. */
class HealthDriver
{
public:
  explicit HealthDriver(std::uint64_t aSeed) : mRandom(aSeed) {}

  /** Sends one attempt and, for some, its rating.
      @param aBad  behaviour of the newer version for the attempts that @p aIsHit accepts */
  template<typename IsHit>
  void Step(double aShare, const Behaviour& aBad, const IsHit& aIsHit)
  {
    mNow += 25ms;
    const bool isNewer = Draw() < aShare;
    HealthAttempt attempt;
    attempt.mVersion = isNewer ? kNew : kOld;
    attempt.mClass = ClassName("chat");
    const auto team = static_cast<int>(Draw() * Draw() * kTeams);
    attempt.mTeam = TeamName("team-" + std::to_string(team));
    attempt.mZone = ZoneName("zone-" + std::to_string(static_cast<int>(Draw() * 3)));
    const auto behaviour = isNewer && aIsHit(attempt) ? aBad : Behaviour{};
    attempt.mError = Draw() < behaviour.mErrors;
    attempt.mTimeout = !attempt.mError && Draw() < behaviour.mTimeouts;
    const double draw = Draw() + Draw() + Draw();
    attempt.mLatency = std::chrono::microseconds(
      static_cast<std::int64_t>(200'000 * std::exp(draw - 1.5) * behaviour.mSlowness));
    mHealth.ObserveAttempt(attempt, mNow);
    mNewerAttempts += isNewer ? 1 : 0;
    if (!attempt.mError && !attempt.mTimeout && (isNewer || Draw() < 0.15)) {
      const bool good = Draw() < behaviour.mGood;
      mHealth.ObserveRating({ attempt.mVersion, attempt.mTeam, attempt.mZone, good }, mNow);
    }
  }

  /** Runs until the verdict is bad or the attempts are used up. */
  template<typename IsHit>
  HealthVerdict Run(int aAttempts, double aShare, const Behaviour& aBad, const IsHit& aIsHit)
  {
    for (int n = 0; n < aAttempts && mHealth.Verdict().mState != HealthState::Bad; ++n) {
      Step(aShare, aBad, aIsHit);
    }
    return mHealth.Verdict();
  }

  int NewerAttempts() const { return mNewerAttempts; }

private:
  double Draw() { return boost::random::uniform_01<double>()(mRandom); }

  boost::random::mt19937_64 mRandom;
  VersionHealth mHealth{ kOld, kNew, {} };
  TimePoint mNow{ 1h };
  int mNewerAttempts = 0;
};

const auto kEverywhere = [](const HealthAttempt&) { return true; };

} // namespace

TEST_CASE("at most one healthy roll in a thousand is called bad")
{
  int bad = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    HealthDriver driver(seed);
    driver.Run(2000, 0.05, {}, kEverywhere);
    driver.Run(1000, 0.5, {}, kEverywhere);
    const auto verdict = driver.Run(1000, 1, {}, kEverywhere);
    if (verdict.mState == HealthState::Bad) {
      ++bad;
      WARN("seed " << seed << ": " << verdict.Reason());
    }
  }
  CHECK(bad <= 1);
}

TEST_CASE("a version that fails in each of the named ways is found and the reason names it")
{
  struct Case
  {
    const char* mName;
    Behaviour mBad;
    HealthMetric mMetric;
  };
  const auto fault = GENERATE(values<Case>({
    { "errors", { 0.5, 0.005, 0.92, 1 }, HealthMetric::Errors },
    { "timeouts", { 0.01, 0.5, 0.92, 1 }, HealthMetric::Timeouts },
    { "ratings", { 0.01, 0.005, 0.5, 1 }, HealthMetric::Ratings },
    { "latency", { 0.01, 0.005, 0.92, 2 }, HealthMetric::Latency },
  }));
  INFO(fault.mName);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    HealthDriver driver(seed);
    driver.Run(1000, 0, {}, kEverywhere);
    const auto verdict = driver.Run(40'000, 0.05, fault.mBad, kEverywhere);
    REQUIRE(verdict.mState == HealthState::Bad);
    CHECK(verdict.mMetric == fault.mMetric);
    // The target: half a per cent of an hour's requests at forty a second.
    CHECK(driver.NewerAttempts() <= 720);
  }
}

TEST_CASE("a version that is bad for one team or in one zone only is found in that slice")
{
  const Behaviour bad{ 0.6, 0.005, 0.92, 1 };
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    HealthDriver ofTeam(seed);
    ofTeam.Run(3000, 0, {}, kEverywhere);
    const auto team = ofTeam.Run(40'000, 0.05, bad, [](const HealthAttempt& aAttempt) {
      return aAttempt.mTeam == TeamName("team-6");
    });
    CHECK(team.Reason() == "errors in team team-6");

    HealthDriver ofZone(seed);
    ofZone.Run(3000, 0, {}, kEverywhere);
    const auto zone = ofZone.Run(40'000, 0.05, bad, [](const HealthAttempt& aAttempt) {
      return aAttempt.mZone == ZoneName("zone-1");
    });
    CHECK(zone.mState == HealthState::Bad);
  }
}

TEST_CASE("a version turns healthy only with evidence")
{
  HealthDriver driver(7);
  CHECK(driver.Run(3000, 0, {}, kEverywhere).mState == HealthState::Undecided);
  CHECK(driver.Run(40'000, 0.5, {}, kEverywhere).mState == HealthState::Healthy);
}

TEST_CASE("the breaker stops a failing version after two failures and probes it later")
{
  VersionBreaker breaker;
  TimePoint now{ 1h };
  breaker.Report(true, now);
  CHECK(breaker.Allows(now));
  breaker.Report(true, now);
  CHECK_FALSE(breaker.Allows(now + 1s));
  CHECK(breaker.Allows(now + 5s));
  CHECK_FALSE(breaker.Allows(now + 6s));
  breaker.Report(true, now + 6s);
  CHECK_FALSE(breaker.Allows(now + 15s));
  CHECK(breaker.Allows(now + 16s));
  breaker.Report(false, now + 17s);
  CHECK(breaker.Allows(now + 17s));
}
