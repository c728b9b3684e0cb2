#include "FleetFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace skylarkchute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kPeriod{ 24 };

/** Sends requests of mSubjects subjects, or of mOnlySubject if it is set, at a steady rate. Those
 * on `v2` fail as the caller specifies. */
struct Traffic
{
  int mOlder = 0;
  int mNewer = 0;

  /** Sends requests for a given time.
      @param aFails  called with the number of requests sent to `v2` so far; returns whether the
                     last one fails */
  template<typename Fails>
  void Send(FleetFixture& aFleet, milliseconds aTime, const Fails& aFails)
  {
    for (int i = 0; i < aTime.count() * mPerSecond / 1000; ++i) {
      aFleet.mNow += milliseconds(1000 / mPerSecond);
      auto plan = aFleet.Admit("/chat/1",
                               mOnlySubject.empty() ? "s" + std::to_string(mSubject++ % mSubjects)
                                                    : mOnlySubject);
      const auto attempt = aFleet.Attempt(plan);
      const bool isNewer = attempt.mVersion == "v2";
      (isNewer ? mNewer : mOlder) += 1;
      ++mRequests[attempt.mEndpoint];
      aFleet.mRouter.OnSent(plan, attempt, aFleet.mNow);
      const bool fails = isNewer && aFails(mNewer);
      if (!fails) {
        aFleet.mRouter.OnFirstByte(plan, attempt, milliseconds(50), aFleet.mNow);
      }
      aFleet.mRouter.OnEnded(
        plan, attempt, fails ? RelayOutcome::Failed : RelayOutcome::Answered, aFleet.mNow);
    }
  }

  std::map<EndpointId, int> mRequests; /**< Number of requests by endpoint. */
  int mSubject = 0;
  int mSubjects = 400; /**< Number of subjects. */
  std::string mOnlySubject;
  int mPerSecond = 40;
};

RolloutStep Step(FleetFixture& aFleet)
{
  return aFleet.mRouter.Rollouts().NextStep(ServiceName("svc"), aFleet.mNow);
}

} // namespace

TEST_CASE("rollout: a version that was not ordered gets nothing")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 3);
  Traffic traffic;
  traffic.Send(fleet, seconds(1), [](int) { return false; });
  fleet.AddEndpoints("new", 3, "v2");
  traffic.Send(fleet, seconds(2), [](int) { return false; });
  CHECK(traffic.mNewer == 0);
}

TEST_CASE("rollout: a good version is tried, takes all requests and completes in time")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 4);
  fleet.AddEndpoints("new", 4, "v2");
  fleet.OrderRollout("v2", kPeriod);
  Traffic trial;
  trial.Send(fleet, seconds(12), [](int) { return false; });
  CHECK(trial.mNewer > 10);
  CHECK(trial.mNewer < 0.15 * (trial.mNewer + trial.mOlder));
  CHECK(Step(fleet) == RolloutStep::None);
  Traffic rest;
  rest.Send(fleet, seconds(6), [](int) { return false; });
  Traffic last;
  last.Send(fleet, seconds(4), [](int) { return false; });
  CHECK(last.mOlder == 0);
  CHECK(Step(fleet) == RolloutStep::Complete);
}

TEST_CASE("rollout: a service with few requests is moved in time, within the exposure bound")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 2);
  fleet.AddEndpoints("new", 2, "v2");
  fleet.OrderRollout("v2", kPeriod);
  Traffic traffic;
  traffic.mPerSecond = 5;
  traffic.Send(fleet, seconds(18), [](int) { return false; });
  CHECK(traffic.mNewer <= 0.15 * (traffic.mNewer + traffic.mOlder) + 30);
  traffic.Send(fleet, seconds(4), [](int) { return false; });
  CHECK(Step(fleet) == RolloutStep::Complete);
}

TEST_CASE("rollout: a service whose requests share one prompt is moved in time")
{
  // Whatever the place of the one subject in the order in which subjects move.
  for (int subject = 0; subject < 8; ++subject) {
    FleetFixture fleet;
    fleet.AddEndpoints("old", 2);
    fleet.AddEndpoints("new", 2, "v2");
    fleet.OrderRollout("v2", kPeriod);
    Traffic traffic;
    traffic.mOnlySubject = "only" + std::to_string(subject);
    traffic.Send(fleet, seconds(22), [](int) { return false; });
    INFO(subject);
    CHECK(Step(fleet) == RolloutStep::Complete);
  }
}

TEST_CASE("rollout: a bad version is left quickly if all requests share one prompt")
{
  for (int subject = 0; subject < 8; ++subject) {
    FleetFixture fleet;
    fleet.AddEndpoints("old", 2);
    fleet.AddEndpoints("new", 2, "v2");
    fleet.OrderRollout("v2", kPeriod);
    Traffic traffic;
    traffic.mOnlySubject = "only" + std::to_string(subject);
    traffic.Send(fleet, seconds(22), [](int) { return true; });
    INFO(subject);
    CHECK(Step(fleet) == RolloutStep::RollBack);
    CHECK(traffic.mNewer <= 0.15 * (traffic.mNewer + traffic.mOlder) + 30);
  }
}

TEST_CASE("rollout: slow answers under full load do not stop a good version that took all requests")
{
  // One answer in fifty is slow while the share is small. Once all requests have moved, prompts
  // must be processed again, and two answers in five are slow for a while. A bad version is nearly
  // always slow.
  for (const bool isBad : { false, true }) {
    RolloutEvaluator evaluator;
    for (int n = 0; n < 400; ++n) {
      evaluator.AddToSum({ { 1, 0, n % 50 == 0 ? 1U : 0U }, {} });
      if (n % 4 == 0) {
        evaluator.AddToSum({ {}, { 1, 0, n % 200 == 0 ? 1U : 0U } });
      }
    }
    REQUIRE_FALSE(evaluator.IsBad());
    int answers = 0;
    for (; answers < 300 && !evaluator.IsBad(); ++answers) {
      const bool isSlow = answers >= 60 && (isBad ? answers % 20 != 0 : answers % 5 < 2);
      evaluator.AddToSum({ {}, { 1, 0, isSlow ? 1U : 0U } });
    }
    CHECK(evaluator.IsBad() == isBad);
  }
}

TEST_CASE("rollout: a version that fails is stopped long before the exposure bound")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 4);
  fleet.AddEndpoints("new", 4, "v2");
  fleet.OrderRollout("v2", kPeriod);
  Traffic traffic;
  traffic.Send(fleet, seconds(10), [](int aIndex) { return aIndex % 2 == 0; });
  CHECK(traffic.mNewer < 50);
  CHECK(Step(fleet) == RolloutStep::RollBack);
}

TEST_CASE("rollout: a version that turns bad late is stopped within its exposure")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 4);
  fleet.AddEndpoints("new", 4, "v2");
  fleet.OrderRollout("v2", kPeriod);
  Traffic early;
  early.Send(fleet, seconds(9), [](int) { return false; });
  Traffic late;
  late.Send(fleet, seconds(15), [](int aIndex) { return aIndex % 2 == 0; });
  CHECK(Step(fleet) == RolloutStep::RollBack);
  CHECK(early.mNewer + late.mNewer < 0.15 * 24 * 40 + 30);
}

TEST_CASE("rollout: a version whose slow answers are given up before they begin is rolled back")
{
  // Only the quick half of its answers was counted, so the rollout was completed.
  FleetFixture fleet;
  fleet.AddEndpoints("old", 4);
  fleet.AddEndpoints("new", 4, "v2");
  fleet.OrderRollout("v2", kPeriod);
  constexpr milliseconds kGap{ 25 };
  int sent = 0;
  int newer = 0;
  for (milliseconds at{ 0 }; at < kPeriod; at += kGap) {
    fleet.mNow += kGap;
    auto plan = fleet.Admit("/chat/1", "s" + std::to_string(sent++ % 400));
    const auto attempt = fleet.Attempt(plan);
    fleet.mRouter.OnSent(plan, attempt, fleet.mNow);
    const bool isNewer = attempt.mVersion == "v2";
    const bool timesOut = isNewer && newer % 2 == 0;
    newer += isNewer ? 1 : 0;
    if (!timesOut) {
      fleet.mRouter.OnFirstByte(plan, attempt, milliseconds(50), fleet.mNow);
    }
    fleet.mRouter.OnEnded(
      plan, attempt, timesOut ? RelayOutcome::TimedOut : RelayOutcome::Answered, fleet.mNow);
  }
  CHECK(Step(fleet) == RolloutStep::RollBack);
  CHECK(newer <= 0.15 * sent + 30);
}

TEST_CASE("rollout: answers that are awaited for too long count before they are given up")
{
  // The share of the newer version grew while its slow answers were still waited for.
  FleetFixture fleet;
  fleet.AddEndpoints("old", 4);
  fleet.AddEndpoints("new", 4, "v2");
  Traffic before;
  before.Send(fleet, seconds(2), [](int) { return false; });
  fleet.OrderRollout("v2", kPeriod);
  constexpr milliseconds kGap{ 25 };
  std::vector<RequestPlan> plans;
  TimePoint slowSince{};
  for (milliseconds at{ 0 }; at < kPeriod && Step(fleet) != RolloutStep::RollBack; at += kGap) {
    fleet.mNow += kGap;
    fleet.mRouter.Tick(fleet.mNow);
    plans.push_back(fleet.Admit("/chat/1", "s" + std::to_string(plans.size() % 400)));
    const auto attempt = fleet.Attempt(plans.back());
    fleet.mRouter.OnSent(plans.back(), attempt, fleet.mNow);
    if (attempt.mVersion == "v2") {
      slowSince = slowSince == TimePoint{} ? fleet.mNow : slowSince;
      continue; // Never answered, and not given up either.
    }
    fleet.mRouter.OnFirstByte(plans.back(), attempt, milliseconds(50), fleet.mNow);
    fleet.mRouter.OnEnded(plans.back(), attempt, RelayOutcome::Answered, fleet.mNow);
  }
  CHECK(Step(fleet) == RolloutStep::RollBack);
  CHECK(fleet.mNow - slowSince < seconds(5));
}

TEST_CASE("rollout: a subject in use stays on the older version through the first half")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 3);
  fleet.AddEndpoints("new", 3, "v2");
  const auto send = [&](seconds aTime) {
    int newer = 0;
    for (int i = 0; i < aTime.count(); ++i) {
      fleet.mNow += seconds(1);
      for (int subject = 0; subject < 40; ++subject) {
        auto plan = fleet.Admit("/chat/1", "s" + std::to_string(subject));
        newer += fleet.Run(plan).mVersion == "v2" ? 1 : 0;
      }
    }
    return newer;
  };
  send(seconds(2));
  fleet.OrderRollout("v2", kPeriod);
  CHECK(send(seconds(12)) == 0);
}

// Guards against sessions that change their version after a long answer, because their lifetime was
// counted from when the request was sent.
TEST_CASE("rollout: the lifetime of a session counts from the end of its last request")
{
  constexpr int kSubjects = 100;
  FleetFixture fleet;
  fleet.AddEndpoints("old", 3);
  fleet.AddEndpoints("new", 3, "v2");
  fleet.OrderRollout("v2", kPeriod);
  std::vector<std::pair<RequestPlan, AttemptPlan>> running;
  for (int subject = 0; subject < kSubjects; ++subject) {
    auto plan = fleet.Admit("/chat/1", "s" + std::to_string(subject));
    const auto attempt = fleet.Attempt(plan);
    fleet.mRouter.OnSent(plan, attempt, fleet.mNow);
    running.emplace_back(plan, attempt);
  }
  fleet.mNow += seconds(4);
  for (auto& [plan, attempt] : running) {
    fleet.mRouter.OnEnded(plan, attempt, RelayOutcome::Answered, fleet.mNow);
  }
  fleet.mNow += seconds(4);
  int newer = 0;
  for (int subject = 0; subject < kSubjects; ++subject) {
    auto plan = fleet.Admit("/chat/1", "s" + std::to_string(subject));
    newer += fleet.Run(plan).mVersion == "v2" ? 1 : 0;
  }
  CHECK(newer == 0);
}

TEST_CASE("rollout: a subject in use at another instance, or moved there, is known here")
{
  // Guards against a newly added instance that sends subjects in use on other instances to the
  // newer version.
  FleetFixture busy;
  FleetFixture added;
  for (auto* it : { &busy, &added }) {
    it->AddEndpoints("old", 3);
    it->AddEndpoints("new", 3, "v2");
    it->OrderRollout("v2", kPeriod);
  }
  const auto exchange = [](FleetFixture& aFrom, FleetFixture& aTo) {
    for (const auto& it : aFrom.mRouter.Rollouts().Evidence(aFrom.mNow)) {
      aTo.mRouter.Rollouts().OnEvidence(it, aTo.mNow);
    }
  };
  int versionChanges = 0;
  std::map<std::string, std::string> versions;
  for (int second = 0; second < 12; ++second) {
    busy.mNow += seconds(1);
    added.mNow += seconds(1);
    for (int subject = 0; subject < 60; ++subject) {
      const auto name = "s" + std::to_string(subject);
      auto& fleet = second >= 8 && subject % 2 == 0 ? added : busy;
      auto plan = fleet.Admit("/chat/1", name);
      const auto version = fleet.Run(plan).mVersion;
      versionChanges += versions.count(name) > 0 && versions[name] != version ? 1 : 0;
      versions[name] = version;
    }
    exchange(busy, added);
    exchange(added, busy);
  }
  CHECK(versionChanges == 0);
}

TEST_CASE("rollout: another instance's evidence stops a version, and its age counts")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 3);
  fleet.AddEndpoints("new", 3, "v2");
  fleet.OrderRollout("v2", kPeriod);
  RolloutEvidence evidence;
  evidence.mService = ServiceName("svc");
  evidence.mTarget = "v2";
  evidence.mInstance = IncarnationId("other~1");
  evidence.mSum = { { 200, 0, 0 }, { 30, 12, 0 } };
  evidence.mAge = milliseconds(5000);
  CHECK(fleet.mRouter.Rollouts().OnEvidence(evidence, fleet.mNow));
  CHECK(Step(fleet) == RolloutStep::RollBack);
  CHECK(fleet.mRouter.Rollouts().Evidence(fleet.mNow).front().mAge >= milliseconds(5000));
}

TEST_CASE("rollout: the exposure limit holds while no endpoint of the older version is open")
{
  // All three had crashed, and the version in trial got every request.
  FleetFixture fleet;
  fleet.AddEndpoints("old", 3);
  fleet.AddEndpoints("new", 3, "v2");
  fleet.OrderRollout("v2", kPeriod);
  Traffic before;
  before.Send(fleet, seconds(3), [](int) { return false; });
  for (const auto* id : { "old0", "old1", "old2" }) {
    fleet.mRouter.Endpoints().Remove(EndpointId(id), false, fleet.mNow);
  }
  int sent = before.mOlder + before.mNewer;
  int newer = before.mNewer;
  int refused = 0;
  for (milliseconds at{ 0 }; at < seconds(6); at += milliseconds(25)) {
    fleet.mNow += milliseconds(25);
    auto plan = fleet.Admit("/order/1");
    const auto decision = fleet.mRouter.NextAttempt(plan, false, fleet.mNow);
    if (const auto* attempt = std::get_if<AttemptPlan>(&decision)) {
      CHECK(attempt->mVersion == "v2");
      fleet.mRouter.OnSent(plan, *attempt, fleet.mNow);
      fleet.mRouter.OnFirstByte(plan, *attempt, milliseconds(50), fleet.mNow);
      fleet.mRouter.OnEnded(plan, *attempt, RelayOutcome::Answered, fleet.mNow);
      ++sent;
      ++newer;
    } else {
      ++refused;
    }
  }
  CHECK(newer <= 0.15 * sent + 30);
  CHECK(newer > before.mNewer);
  CHECK(refused > 0);
  fleet.AddEndpoints("old", 3);
  Traffic after;
  after.Send(fleet, seconds(1), [](int) { return false; });
  CHECK(after.mOlder > 0);
}

TEST_CASE("rollout: what was rolled back gets nothing, what was completed gets all")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 2);
  fleet.AddEndpoints("new", 2, "v2");
  fleet.OrderRollout("v2", kPeriod, RolloutState::RolledBack);
  Traffic afterRollback;
  afterRollback.Send(fleet, seconds(1), [](int) { return false; });
  CHECK(afterRollback.mNewer == 0);
  fleet.OrderRollout("v2", kPeriod, RolloutState::Completed);
  Traffic afterCompletion;
  afterCompletion.Send(fleet, seconds(1), [](int) { return false; });
  CHECK(afterCompletion.mOlder == 0);
}

TEST_CASE("EXPOSURE: a version is on trial although requests came before its order was known")
{
  // Guards against keeping a version in use that was inferred from the endpoints just after a
  // start, once its order arrives: it got every request, also after it was rolled back.
  FleetFixture fleet;
  fleet.AddEndpoints("old", 2);
  fleet.AddEndpoints("new", 3, "v2");
  Traffic beforeOrder;
  beforeOrder.Send(fleet, milliseconds(500), [](int) { return false; });
  REQUIRE(beforeOrder.mNewer > 0);
  SECTION("the order is running")
  {
    fleet.OrderRollout("v2", kPeriod);
    Traffic onTrial;
    onTrial.Send(fleet, seconds(11), [](int) { return false; });
    CHECK(onTrial.mNewer <= 0.15 * (onTrial.mNewer + onTrial.mOlder));
    fleet.OrderRollout("v2", kPeriod, RolloutState::RolledBack);
  }
  SECTION("the order was rolled back")
  {
    fleet.OrderRollout("v2", kPeriod, RolloutState::RolledBack);
  }
  Traffic afterRollback;
  afterRollback.Send(fleet, seconds(1), [](int) { return false; });
  CHECK(afterRollback.mNewer == 0);
}

TEST_CASE("rollout: an order for the version in use stops no request")
{
  FleetFixture fleet;
  fleet.AddEndpoints("new", 3, "v2");
  Traffic traffic;
  traffic.Send(fleet, seconds(1), [](int) { return false; });
  fleet.OrderRollout("v2", kPeriod);
  traffic.Send(fleet, seconds(11), [](int) { return false; });
  CHECK(traffic.mNewer == 12 * traffic.mPerSecond);
}

TEST_CASE("rollout: a version whose order is removed gets nothing until it is ordered again")
{
  FleetFixture fleet;
  fleet.AddEndpoints("old", 2);
  fleet.AddEndpoints("new", 3, "v2");
  fleet.OrderRollout("v2", kPeriod);
  Traffic onTrial;
  onTrial.Send(fleet, seconds(10), [](int) { return false; });
  REQUIRE(onTrial.mNewer > 0);
  fleet.mRouter.Rollouts().OnOrderRemoved(ServiceName("svc"));
  Traffic afterRemoval;
  afterRemoval.Send(fleet, seconds(10), [](int) { return false; });
  CHECK(afterRemoval.mNewer == 0);
  fleet.OrderRollout("v2", kPeriod);
  Traffic again;
  again.Send(fleet, seconds(19), [](int) { return false; });
  CHECK(again.mOlder > 0);
  Traffic lastPart;
  lastPart.Send(fleet, seconds(2), [](int) { return false; });
  CHECK(lastPart.mOlder == 0);
}

TEST_CASE("rollout: a version is judged before sessions may move, also where they last long")
{
  // Guards against a trial that begins late and then moves half of the subjects at once: new
  // endpoints were slow under them, and a good version was stopped.
  const auto session = GENERATE(milliseconds(5000), milliseconds(8500));
  CAPTURE(session.count());
  FleetFixture fleet;
  fleet.mRouter.Rollouts().SetBounds({ 0.15, 30 }, session);
  fleet.AddEndpoints("old", 9);
  fleet.AddEndpoints("new", 9, "v2");
  Traffic traffic;
  traffic.mPerSecond = 50;
  traffic.mSubjects = 2000;
  traffic.Send(fleet, seconds(1), [](int) { return false; });
  fleet.OrderRollout("v2", kPeriod);
  traffic.Send(fleet, kPeriod / 2, [](int) { return false; });
  CHECK(traffic.mNewer >= 20);
  CHECK(traffic.mNewer <= 0.15 * (traffic.mNewer + traffic.mOlder));
  traffic.Send(fleet, kPeriod * 9 / 20, [](int) { return false; });
  CHECK(Step(fleet) == RolloutStep::Complete);
}

TEST_CASE("rollout: no newer endpoint gets more than twice its part after a short trial")
{
  // Guards against half of the subjects at the few endpoints of the trial: these were slow, and a
  // good version was stopped. The number of these endpoints is rounded down, to half at most.
  constexpr int kEndpoints = 9;
  Traffic trial;
  trial.mPerSecond = 20;
  Traffic afterTrial = trial;
  for (int run = 0; run < 20; ++run) {
    FleetFixture fleet;
    fleet.mRouter.Rollouts().SetBounds({ 0.15, 30 }, milliseconds(8500));
    fleet.AddEndpoints("old", kEndpoints);
    fleet.AddEndpoints("new", kEndpoints, "v2");
    fleet.OrderRollout("v2", kPeriod);
    trial.Send(fleet, kPeriod / 2, [](int) { return false; });
    afterTrial.Send(fleet, kPeriod / 24, [](int) { return false; });
  }
  const int sent = afterTrial.mNewer + afterTrial.mOlder;
  for (const auto& [endpoint, n] : afterTrial.mRequests) {
    CAPTURE(endpoint.Value(), n, sent);
    CHECK((endpoint.Value().rfind("new", 0) != 0 || n * kEndpoints <= 2 * sent));
  }
}
