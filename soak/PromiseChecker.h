#pragma once

#include "Evidence.h"

#include <functional>
#include <map>
#include <set>

namespace skylarkchute::soak {

struct Violation
{
  std::string mRequestId; /**< Empty if no single request is concerned. */
  std::string mText;
};

struct CheckResult
{
  std::string mName;
  std::size_t mCases = 0; /**< Zero: the check did not run. */
  std::size_t mAllowed = 0;
  std::vector<Violation> mViolations;

  bool IsBroken() const { return mViolations.size() > mAllowed; }
};

/** Checks the promises of the relay against what clients and endpoints saw. */
class PromiseChecker
{
public:
  /** @param aEvidence  must outlive the checker */
  explicit PromiseChecker(const Evidence& aEvidence);

  /** Returns one result for each promise. */
  std::vector<CheckResult> CheckAll() const;

private:
  CheckResult CheckWholeAnswers() const;
  CheckResult CheckStrayBytes() const;
  CheckResult CheckRunsAsSent() const;
  CheckResult CheckAtMostOnce() const;
  CheckResult CheckRefusals() const;
  CheckResult CheckAnswered() const;
  CheckResult CheckPlannedWork() const;
  CheckResult CheckDeadlines() const;
  CheckResult CheckGivenUp() const;
  CheckResult CheckConfigurationInForce() const;
  CheckResult CheckConfigurationKept() const;
  CheckResult CheckDroppedRoutes() const;
  CheckResult CheckKeys() const;
  CheckResult CheckDraining() const;
  CheckResult CheckCrashingPart() const;
  CheckResult CheckRollouts() const;
  CheckResult CheckExposure() const;
  CheckResult CheckNotReadyWhileStopping() const;
  CheckResult CheckLives() const;
  CheckResult CheckRecovery() const;
  CheckResult CheckResources() const;

  bool IsCalm(Subject aSubject, const std::string& aName, TimePoint aFrom, TimePoint aTo) const;
  bool AreEndpointsCalm(TimePoint aFrom, TimePoint aTo) const;
  const Life* LifeAt(const std::string& aRelay, TimePoint aAt) const;
  bool HasPlannedWork(const Exchange& aExchange) const;
  static bool HasEndedAsTold(const Life& aLife);
  bool IsCut(const Exchange& aExchange) const;
  bool IsInForce(const Exchange& aExchange, const Configuration& aConfiguration) const;
  bool IsRelaySettled(const Exchange& aExchange, TimePoint aFrom) const;

  const Evidence& mEvidence;
  std::map<std::string, std::vector<const Run*>> mRunsById;
  std::map<std::string, const Exchange*> mExchangesById;
};

/** Returns the body that the stand-in's endpoint sends for the stream of a request. */
std::string ExpectedStream(const std::string& aId);

/** Returns whether a response to the exchange is the whole answer of its own request. */
bool IsOwnAnswer(const Exchange& aExchange);

} // namespace skylarkchute::soak
