#include "FleetFixture.h"

#include <catch2/catch.hpp>

#include <random>

using namespace skylarkchute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kPeriod{ 16 };
constexpr milliseconds kGap{ 20 };

/** Share of the service's requests that are idempotent, and of their answers that fail at any
    version, more often from
    kClusterStart on. Those of the other class hardly ever fail at the older version. */
constexpr double kIdempotentShare = 0.3;
constexpr double kUsualFailures = 0.15;
constexpr double kClusterFailures = 0.6;
constexpr seconds kClusterStart{ 4 };
constexpr double kRareFailures = 0.004;

RolloutStep Step(FleetFixture& aFleet)
{
  return aFleet.mRouter.Rollouts().NextStep(ServiceName("svc"), aFleet.mNow);
}

/** A service with two classes of requests during the rollout of `v2`. */
class TwoClassService
{
public:
  explicit TwoClassService(std::uint32_t aSeed) : mRandom(aSeed)
  {
    mFleet.AddEndpoints("old", 3);
    mFleet.AddEndpoints("new", 3, "v2");
    mFleet.OrderRollout("v2", kPeriod);
  }

  /** Lets the rollout run for its period.
      @param aFailures  share of the answers of `v2` to non-idempotent requests that fail */
  void Run(double aFailures)
  {
    for (milliseconds at{ 0 }; at < kPeriod; at += kGap) {
      mFleet.mNow += kGap;
      mFleet.mRouter.Tick(mFleet.mNow);
      const bool isIdempotent = Draw(kIdempotentShare);
      auto plan = mFleet.Admit(isIdempotent ? "/check/1" : "/order/1");
      const auto attempt = mFleet.Attempt(plan);
      const bool isNewer = attempt.mVersion == "v2";
      const bool isCluster = at >= kClusterStart;
      const double usual = isCluster ? kClusterFailures : kUsualFailures;
      const double share = isIdempotent ? usual : isNewer ? aFailures : kRareFailures;
      mFleet.mRouter.OnSent(plan, attempt, mFleet.mNow);
      const bool fails = Draw(share);
      mFleet.mRouter.OnFirstByte(plan, attempt, milliseconds(15), mFleet.mNow);
      mFleet.mRouter.OnEnded(
        plan, attempt, fails ? RelayOutcome::Failed : RelayOutcome::Answered, mFleet.mNow);
      ++mSent;
      mSentToNewer += isNewer ? 1 : 0;
    }
  }

  FleetFixture mFleet;
  int mSent = 0;
  int mSentToNewer = 0;

private:
  bool Draw(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }

  std::mt19937 mRandom;
};

} // namespace

TEST_CASE("rollout: failures of one class are not hidden by another class that fails anyway")
{
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    TwoClassService service(seed);
    service.Run(0.5);
    INFO("seed " << seed << ", to the newer version " << service.mSentToNewer << " of "
                 << service.mSent);
    CHECK(Step(service.mFleet) == RolloutStep::RollBack);
    CHECK(service.mSentToNewer <= 0.15 * service.mSent + 30);
  }
}

TEST_CASE("rollout: a good version of two classes is completed")
{
  int stopped = 0;
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    TwoClassService service(seed);
    service.Run(kRareFailures);
    stopped += Step(service.mFleet) == RolloutStep::Complete ? 0 : 1;
  }
  CHECK(stopped <= 1);
}

TEST_CASE("rollout: evidence of one class stops a version at another instance")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 3);
  fleet.AddEndpoints("new", 3, "v2");
  fleet.OrderRollout("v2", kPeriod);
  RolloutEvidence evidence;
  evidence.mService = ServiceName("svc");
  evidence.mTarget = "v2";
  evidence.mInstance = IncarnationId("other~1");
  // In sum, the failures of the older version hide those of the newer one.
  evidence.mSum = { { 400, 100, 0 }, { 60, 12, 0 } };
  evidence.mClasses[RouteClass{ 3 }] = { { 200, 100, 0 }, { 30, 0, 0 } };
  evidence.mClasses[RouteClass{ 5 }] = { { 200, 0, 0 }, { 30, 12, 0 } };
  CHECK(fleet.mRouter.Rollouts().OnEvidence(evidence, fleet.mNow));
  CHECK(Step(fleet) == RolloutStep::RollBack);
}

TEST_CASE("rollout: the classes of a message are bounded, however many a service has")
{
  RolloutTracker tracker(IncarnationId("own~1"), { 0.15, 30 }, seconds(5));
  const ServiceName service("svc");
  const TimePoint now{ std::chrono::hours(1) };
  tracker.OnOrder({ service, "v2", kPeriod, 1, RolloutState::Running }, now, milliseconds(0));
  for (std::uint32_t n = 1; n <= 350; ++n) {
    tracker.OnAnswer(service, "v1", RouteClass{ n }, { 1, 0, 0 });
  }
  const auto evidence = tracker.Evidence(now).front();
  CHECK(evidence.mClasses.size() == kMaxComparedClasses);
  std::uint64_t answers = 0;
  for (const auto& [routeClass, counts] : evidence.mClasses) {
    answers += counts.mOlder.mAnswers;
  }
  CHECK(answers == 350);
}
