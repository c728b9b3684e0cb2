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

/** Probabilities of the results of one version, and a factor on its latency. */
struct Behaviour
{
  double mErrorRate = 0.01;
  double mTimeoutRate = 0.005;
  double mGoodRate = 0.92;
  double mLatencyFactor = 1;
};

/** Feeds random attempts and ratings of both versions into a VersionHealth. */
class HealthDriver
{
public:
  explicit HealthDriver(std::uint64_t aSeed) : mRandom(aSeed) {}

  /** Adds one attempt and, for a sample, its rating.
      @param aShare  probability that the attempt is on the newer version
      @param aBad  behaviour of the newer version for attempts for which @p aIsAffected is true */
  template<typename IsAffected>
  void Step(double aShare, const Behaviour& aBad, const IsAffected& aIsAffected)
  {
    mNow += 25ms;
    const bool isNewer = Draw() < aShare;
    HealthAttempt attempt;
    attempt.mVersion = isNewer ? kNew : kOld;
    attempt.mClass = ClassName("chat");
    const auto team = static_cast<int>(Draw() * Draw() * kTeams);
    attempt.mTeam = TeamName("team-" + std::to_string(team));
    attempt.mZone = ZoneName("zone-" + std::to_string(static_cast<int>(Draw() * 3)));
    const auto behaviour = isNewer && aIsAffected(attempt) ? aBad : Behaviour{};
    attempt.mError = Draw() < behaviour.mErrorRate;
    attempt.mTimeout = !attempt.mError && Draw() < behaviour.mTimeoutRate;
    const double draw = Draw() + Draw() + Draw();
    attempt.mLatency = std::chrono::microseconds(
      static_cast<std::int64_t>(200'000 * std::exp(draw - 1.5) * behaviour.mLatencyFactor));
    mHealth.ObserveAttempt(attempt, mNow);
    mNewerAttempts += isNewer ? 1 : 0;
    if (!attempt.mError && !attempt.mTimeout && (isNewer || Draw() < 0.15)) {
      const bool good = Draw() < behaviour.mGoodRate;
      mHealth.ObserveRating({ attempt.mVersion, attempt.mTeam, attempt.mZone, good }, mNow);
    }
  }

  /** Adds up to @p aAttempts attempts; stops when the verdict is bad. */
  template<typename IsAffected>
  HealthVerdict Run(int aAttempts,
                    double aShare,
                    const Behaviour& aBad,
                    const IsAffected& aIsAffected)
  {
    for (int n = 0; n < aAttempts && mHealth.Verdict().mState != HealthState::Bad; ++n) {
      Step(aShare, aBad, aIsAffected);
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

const auto kAllAttempts = [](const HealthAttempt&) { return true; };

} // namespace

TEST_CASE("at most one healthy roll in a thousand is called bad")
{
  int bad = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    HealthDriver driver(seed);
    driver.Run(2000, 0.05, {}, kAllAttempts);
    driver.Run(1000, 0.5, {}, kAllAttempts);
    const auto verdict = driver.Run(1000, 1, {}, kAllAttempts);
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
    driver.Run(1000, 0, {}, kAllAttempts);
    const auto verdict = driver.Run(40'000, 0.05, fault.mBad, kAllAttempts);
    REQUIRE(verdict.mState == HealthState::Bad);
    CHECK(verdict.mMetric == fault.mMetric);
    // Detection target: at most 0.5% of the requests of one hour at 40 requests/s.
    CHECK(driver.NewerAttempts() <= 720);
  }
}

TEST_CASE("a version that is bad for one team or in one zone only is found in that slice")
{
  const Behaviour bad{ 0.6, 0.005, 0.92, 1 };
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    HealthDriver ofTeam(seed);
    ofTeam.Run(3000, 0, {}, kAllAttempts);
    const auto team = ofTeam.Run(40'000, 0.05, bad, [](const HealthAttempt& aAttempt) {
      return aAttempt.mTeam == TeamName("team-6");
    });
    CHECK(team.Reason() == "errors in team team-6");

    HealthDriver ofZone(seed);
    ofZone.Run(3000, 0, {}, kAllAttempts);
    const auto zone = ofZone.Run(40'000, 0.05, bad, [](const HealthAttempt& aAttempt) {
      return aAttempt.mZone == ZoneName("zone-1");
    });
    CHECK(zone.mState == HealthState::Bad);
  }
}

TEST_CASE("a version turns healthy only with evidence")
{
  HealthDriver driver(7);
  CHECK(driver.Run(3000, 0, {}, kAllAttempts).mState == HealthState::Undecided);
  CHECK(driver.Run(40'000, 0.5, {}, kAllAttempts).mState == HealthState::Healthy);
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
