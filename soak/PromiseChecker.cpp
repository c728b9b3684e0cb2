#include "PromiseChecker.h"

#include <json/json.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <memory>

namespace skylarkchute::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kFirstFailure = 300;

/** Time without disturbance after which a relay, an endpoint or the store counts as calm. */
constexpr milliseconds kStableTime{ 3000 };

/** Time in which an acknowledged configuration comes into force. */
constexpr milliseconds kApplyTime{ 2000 };

/** Time in which a version, once seen at a relay, may still be missing there. */
constexpr milliseconds kRollbackSlack{ 250 };

/** Time after the acknowledgement of `draining` in which an endpoint still gets requests. */
constexpr milliseconds kDrainTime{ 2000 };

/** Time after the last byte of a request in which a close can cross it. */
constexpr milliseconds kCrossingTime{ 200 };

/** Time after SIGTERM in which a relay may still call itself ready. */
constexpr milliseconds kUnreadyTime{ 4000 };

/** Time from SIGTERM to the end of a relay: its grace and a second for the exit itself. */
constexpr milliseconds kStopTime{ 11000 };

/** Time after a deadline or a client's close in which a late effect is excused. */
constexpr milliseconds kLateness{ 500 };

/** Time after the last fault in which the relays recover. */
constexpr seconds kRecoveryTime{ 12 };

/** Least share of requests that are served after the recovery. */
constexpr double kRecoveredShare = 0.9;

/** Crashes after which a prompt part is known, and runs allowed from then on. */
constexpr std::size_t kCrashesKnown = 3;
constexpr std::size_t kRunsAfterKnown = 3;

/** Requests that may end without an answer, or reach an endpoint after their client has left. */
constexpr std::size_t kToleratedLosses = 3;

/** Requests that may reach a bad version: a share of those of its service, and some more. */
constexpr double kExposedShare = 0.15;
constexpr double kExposedSlack = 30;

constexpr std::uint64_t kMaxResidentBytes = 110'000'000;
constexpr std::uint64_t kMaxDescriptors = 4100;

/** Descriptors that a relay may hold after all clients have closed. */
constexpr std::uint64_t kMaxIdleDescriptors = 200;

constexpr std::uint64_t kStreamEvents = 8;

bool IsPromiseNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool HasPassedDeadline(const Exchange& aExchange)
{
  return aExchange.mEnd - aExchange.mStart >= aExchange.mDeadline;
}

void Violate(CheckResult& aResult, const std::string& aId, const std::string& aText)
{
  aResult.mViolations.push_back({ aId, aText });
}

std::string Milliseconds(Clock::duration aDuration)
{
  return std::to_string(std::chrono::duration_cast<milliseconds>(aDuration).count()) + " ms";
}

bool HasRequestId(const std::string& aText, const std::string& aId)
{
  Json::Value answer;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  return reader->parse(aText.data(), aText.data() + aText.size(), &answer, nullptr) &&
         answer.isObject() && answer["request"].isString() && answer["request"].asString() == aId;
}

} // namespace

std::string ExpectedStream(const std::string& aId)
{
  std::string text;
  for (std::uint64_t n = 1; n <= kStreamEvents; ++n) {
    text += "id: " + std::to_string(n) + "\ndata: " + aId + " word" + std::to_string(n) + "\n\n";
  }
  return text;
}

bool IsOwnAnswer(const Exchange& aExchange)
{
  if (!aExchange.mHasSeal || aExchange.mAnswerId != aExchange.mId) {
    return false;
  }
  return aExchange.mKind == RequestKind::Stream ? aExchange.mAnswer == ExpectedStream(aExchange.mId)
                                                : HasRequestId(aExchange.mAnswer, aExchange.mId);
}

PromiseChecker::PromiseChecker(const Evidence& aEvidence) : mEvidence(aEvidence)
{
  for (const auto& it : mEvidence.mRuns) {
    mRunsById[it.mId].push_back(&it);
  }
  for (const auto& it : mEvidence.mExchanges) {
    mExchangesById[it.mId] = &it;
  }
}

std::vector<CheckResult> PromiseChecker::CheckAll() const
{
  return { CheckWholeAnswers(),
           CheckStrayBytes(),
           CheckRunsAsSent(),
           CheckAtMostOnce(),
           CheckRefusals(),
           CheckAnswered(),
           CheckPlannedWork(),
           CheckDeadlines(),
           CheckGivenUp(),
           CheckConfigurationInForce(),
           CheckConfigurationKept(),
           CheckDroppedRoutes(),
           CheckKeys(),
           CheckDraining(),
           CheckCrashingPart(),
           CheckRollouts(),
           CheckExposure(),
           CheckNotReadyWhileStopping(),
           CheckLives(),
           CheckRecovery(),
           CheckResources() };
}

bool PromiseChecker::IsCalm(Subject aSubject,
                            const std::string& aName,
                            TimePoint aFrom,
                            TimePoint aTo) const
{
  return std::none_of(
    mEvidence.mDisturbances.begin(), mEvidence.mDisturbances.end(), [&](const Disturbance& aOther) {
      return aOther.mSubject == aSubject && (aName.empty() || aOther.mName == aName) &&
             aOther.mBegin <= aTo && aOther.mEnd + kStableTime >= aFrom;
    });
}

bool PromiseChecker::AreEndpointsCalm(TimePoint aFrom, TimePoint aTo) const
{
  return IsCalm(Subject::Endpoint, "", aFrom, aTo);
}

const Life* PromiseChecker::LifeAt(const std::string& aRelay, TimePoint aAt) const
{
  for (const auto& it : mEvidence.mLives) {
    if (it.mRelay == aRelay && it.mBegin <= aAt && (!it.mEnd || *it.mEnd >= aAt)) {
      return &it;
    }
  }
  return nullptr;
}

/** Returns whether the relay's incarnation is old enough and undisturbed from @p aFrom on. */
bool PromiseChecker::IsRelaySettled(const Exchange& aExchange, TimePoint aFrom) const
{
  const auto* life = LifeAt(aExchange.mRelay, aExchange.mStart);
  return life != nullptr && life->mBegin + kStableTime <= aFrom && !life->mStopped &&
         IsCalm(Subject::Relay, aExchange.mRelay, aFrom, aExchange.mEnd);
}

CheckResult PromiseChecker::CheckWholeAnswers() const
{
  CheckResult result{ "a success is the whole answer of its own request", 0, 0, {} };
  for (const auto& it : mEvidence.mExchanges) {
    if (it.mStatus < kOk || it.mStatus >= kFirstFailure || !it.mIsComplete) {
      continue;
    }
    ++result.mCases;
    if (!IsOwnAnswer(it)) {
      Violate(result,
              it.mId,
              it.mRelay + " answered for id '" + it.mAnswerId + "': " + it.mAnswer.substr(0, 120));
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckStrayBytes() const
{
  CheckResult result{ "no bytes without a request", 0, 0, {} };
  for (const auto& it : mEvidence.mExchanges) {
    ++result.mCases;
    if (it.mHasStrayBytes) {
      Violate(result, it.mId, it.mRelay + " sent bytes while no request was waiting");
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckRunsAsSent() const
{
  CheckResult result{ "endpoints run what clients sent", 0, 0, {} };
  for (const auto& it : mEvidence.mRuns) {
    ++result.mCases;
    const auto found = mExchangesById.find(it.mId);
    if (found == mExchangesById.end()) {
      Violate(result, it.mId, it.mEndpoint + " ran an id that no client sent");
    } else if (found->second->mPath != it.mPath || found->second->mBody != it.mBody) {
      Violate(result, it.mId, it.mEndpoint + " ran another path or body: " + it.mPath);
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckAtMostOnce() const
{
  CheckResult result{ "an order runs at most once", 0, 0, {} };
  for (const auto& [id, runs] : mRunsById) {
    const auto found = mExchangesById.find(id);
    if (found == mExchangesById.end() || found->second->mKind != RequestKind::Order) {
      continue;
    }
    ++result.mCases;
    if (runs.size() > 1) {
      Violate(result, id, "ran " + std::to_string(runs.size()) + " times");
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckRefusals() const
{
  CheckResult result{ "a refused order has not run", 0, 0, {} };
  for (const auto& it : mEvidence.mExchanges) {
    if (it.mKind != RequestKind::Order || !IsPromiseNotRun(it.mStatus)) {
      continue;
    }
    ++result.mCases;
    if (const auto runs = mRunsById.find(it.mId); runs != mRunsById.end()) {
      Violate(result,
              it.mId,
              it.mRelay + " answered " + std::to_string(it.mStatus) + ", but " +
                runs->second.front()->mEndpoint + " ran it");
    }
  }
  return result;
}

/** Returns whether the connection of a sent request ended without a whole answer, too early. */
bool PromiseChecker::IsCut(const Exchange& aExchange) const
{
  if (!aExchange.mSent || aExchange.mIsGivenUp || aExchange.mIsComplete ||
      HasPassedDeadline(aExchange)) {
    return false;
  }
  return mRunsById.count(aExchange.mId) > 0 || aExchange.mEnd > *aExchange.mSent + kCrossingTime;
}

CheckResult PromiseChecker::CheckAnswered() const
{
  CheckResult result{ "calm relays answer what they passed on", 0, kToleratedLosses, {} };
  for (const auto& it : mEvidence.mExchanges) {
    if (!it.mSent || it.mIsGivenUp || !it.mPart.empty() ||
        !IsCalm(Subject::Relay, it.mRelay, it.mStart, it.mEnd) ||
        !AreEndpointsCalm(it.mStart, it.mEnd)) {
      continue;
    }
    ++result.mCases;
    if (IsCut(it)) {
      Violate(result,
              it.mId,
              it.mRelay + " closed after " + Milliseconds(it.mEnd - it.mStart) + ", status " +
                std::to_string(it.mStatus));
    }
  }
  return result;
}

/** Returns whether a planned stop, reload or configuration falls into the exchange or just before.
 */
bool PromiseChecker::HasPlannedWork(const Exchange& aExchange) const
{
  const auto isNear = [&](TimePoint aAt) {
    return aAt <= aExchange.mEnd && aExchange.mStart <= aAt + kApplyTime;
  };
  if (std::any_of(mEvidence.mReloads.begin(), mEvidence.mReloads.end(), isNear)) {
    return true;
  }
  if (std::any_of(mEvidence.mConfigurations.begin(),
                  mEvidence.mConfigurations.end(),
                  [&](const Configuration& aOther) { return isNear(aOther.mSent); })) {
    return true;
  }
  return std::any_of(mEvidence.mLives.begin(), mEvidence.mLives.end(), [&](const Life& aLife) {
    return aLife.mRelay == aExchange.mRelay && aLife.mStopped &&
           *aLife.mStopped <= aExchange.mEnd && aExchange.mStart <= *aLife.mStopped + kStopTime;
  });
}

CheckResult PromiseChecker::CheckPlannedWork() const
{
  CheckResult result{ "a planned stop, reload or configuration cuts nothing", 0, 0, {} };
  for (const auto& it : mEvidence.mExchanges) {
    if (!it.mSent || it.mIsGivenUp || !it.mPart.empty() || !HasPlannedWork(it) ||
        !IsCalm(Subject::Relay, it.mRelay, it.mStart, it.mEnd) ||
        !AreEndpointsCalm(it.mStart, it.mEnd)) {
      continue;
    }
    ++result.mCases;
    if (IsCut(it)) {
      Violate(result,
              it.mId,
              it.mRelay + " closed after " + Milliseconds(it.mEnd - it.mStart) + ", status " +
                std::to_string(it.mStatus));
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckDeadlines() const
{
  CheckResult result{ "calm relays answer by the deadline", 0, kToleratedLosses, {} };
  for (const auto& it : mEvidence.mExchanges) {
    if (!it.mSent || it.mIsGivenUp || !IsCalm(Subject::Relay, it.mRelay, it.mStart, it.mEnd)) {
      continue;
    }
    ++result.mCases;
    if (it.mEnd - it.mStart > it.mDeadline + kLateness) {
      Violate(result, it.mId, it.mRelay + " took " + Milliseconds(it.mEnd - it.mStart));
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckGivenUp() const
{
  CheckResult result{ "nothing is sent on after its client has left", 0, kToleratedLosses, {} };
  for (const auto& it : mEvidence.mExchanges) {
    if (!it.mIsGivenUp || !IsCalm(Subject::Relay, it.mRelay, it.mStart, it.mEnd + kLateness)) {
      continue;
    }
    ++result.mCases;
    const auto runs = mRunsById.find(it.mId);
    if (runs == mRunsById.end()) {
      continue;
    }
    for (const auto* run : runs->second) {
      if (run->mAt > it.mEnd + kLateness) {
        Violate(result, it.mId, "ran " + Milliseconds(run->mAt - it.mEnd) + " after the close");
      }
    }
  }
  return result;
}

/** Returns whether the configuration is the only one that may be in force for the exchange. */
bool PromiseChecker::IsInForce(const Exchange& aExchange, const Configuration& aConfiguration) const
{
  if (aExchange.mStart < aConfiguration.mAcknowledged + kApplyTime) {
    return false;
  }
  const bool isReplaced = std::any_of(mEvidence.mConfigurations.begin(),
                                      mEvidence.mConfigurations.end(),
                                      [&](const Configuration& aOther) {
                                        return aOther.mVersion > aConfiguration.mVersion &&
                                               aOther.mSent <= aExchange.mEnd;
                                      });
  return !isReplaced && IsRelaySettled(aExchange, aConfiguration.mSent) &&
         IsCalm(Subject::Store, "", aConfiguration.mSent, aExchange.mEnd);
}

CheckResult PromiseChecker::CheckConfigurationInForce() const
{
  CheckResult result{ "a configuration is in force in time", 0, 0, {} };
  for (const auto& it : mEvidence.mExchanges) {
    if (it.mKind != RequestKind::Probe || it.mStatus == 0) {
      continue;
    }
    for (const auto& configuration : mEvidence.mConfigurations) {
      if (configuration.mVersion != it.mVersion || !IsInForce(it, configuration)) {
        continue;
      }
      ++result.mCases;
      if (it.mStatus == kNotFound) {
        Violate(result,
                it.mId,
                it.mRelay + " does not know version " + std::to_string(it.mVersion) + ", " +
                  Milliseconds(it.mStart - configuration.mAcknowledged) +
                  " after its acknowledgement");
      }
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckConfigurationKept() const
{
  CheckResult result{ "a relay never goes back to an older configuration", 0, 0, {} };
  // When a version was first seen, by incarnation and version.
  std::map<std::pair<const Life*, int>, TimePoint> seen;
  for (const auto& it : mEvidence.mExchanges) {
    if (it.mKind == RequestKind::Probe && it.mStatus == kOk) {
      const auto key = std::pair(LifeAt(it.mRelay, it.mStart), it.mVersion);
      const auto [found, isNew] = seen.try_emplace(key, it.mEnd);
      found->second = std::min(found->second, it.mEnd);
    }
  }
  for (const auto& it : mEvidence.mExchanges) {
    if (it.mKind != RequestKind::Probe || it.mStatus == 0) {
      continue;
    }
    const auto found = seen.find({ LifeAt(it.mRelay, it.mStart), it.mVersion });
    const bool isReplaced =
      std::any_of(mEvidence.mConfigurations.begin(),
                  mEvidence.mConfigurations.end(),
                  [&](const Configuration& aOther) {
                    return aOther.mVersion > it.mVersion && aOther.mSent <= it.mEnd;
                  });
    if (found == seen.end() || isReplaced || it.mStart < found->second + kRollbackSlack) {
      continue;
    }
    ++result.mCases;
    if (it.mStatus == kNotFound) {
      Violate(result,
              it.mId,
              it.mRelay + " knew version " + std::to_string(it.mVersion) +
                " before and answers 404");
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckDroppedRoutes() const
{
  CheckResult result{ "a dropped route is not run", 0, 0, {} };
  for (const auto& it : mEvidence.mExchanges) {
    if (it.mKind != RequestKind::Probe || it.mStatus == 0) {
      continue;
    }
    const bool isDropped = std::any_of(mEvidence.mConfigurations.begin(),
                                       mEvidence.mConfigurations.end(),
                                       [&](const Configuration& aOther) {
                                         return aOther.mVersion > it.mVersion &&
                                                it.mStart > aOther.mAcknowledged + kApplyTime &&
                                                IsRelaySettled(it, aOther.mSent) &&
                                                IsCalm(Subject::Store, "", aOther.mSent, it.mEnd);
                                       });
    if (!isDropped) {
      continue;
    }
    ++result.mCases;
    if (mRunsById.count(it.mId) > 0) {
      Violate(result, it.mId, it.mRelay + " ran a route of version " + std::to_string(it.mVersion));
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckKeys() const
{
  CheckResult result{ "a request runs only with a key that is in force", 0, 0, {} };
  for (const auto& it : mEvidence.mExchanges) {
    const bool isRevoked =
      std::any_of(mEvidence.mConfigurations.begin(),
                  mEvidence.mConfigurations.end(),
                  [&](const auto& aOther) { return !aOther.mHasTeams && IsInForce(it, aOther); });
    if (!it.mHasUnknownKey && !isRevoked) {
      continue;
    }
    ++result.mCases;
    if (const auto runs = mRunsById.find(it.mId); runs != mRunsById.end()) {
      Violate(result,
              it.mId,
              runs->second.front()->mEndpoint + " ran it for " + it.mRelay + " with " +
                (it.mHasUnknownKey ? "an unknown key" : "a revoked key"));
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckDraining() const
{
  CheckResult result{ "a draining endpoint gets no requests", 0, 0, {} };
  result.mCases = mEvidence.mDrainedEndpoints.size();
  for (const auto& it : mEvidence.mRuns) {
    if (!it.mDraining) {
      continue;
    }
    const auto found = mExchangesById.find(it.mId);
    if (*it.mDraining > kDrainTime && found != mExchangesById.end() &&
        IsCalm(Subject::Relay, found->second->mRelay, it.mAt - *it.mDraining, it.mAt) &&
        IsCalm(Subject::Store, "", it.mAt - *it.mDraining, it.mAt)) {
      Violate(result,
              it.mId,
              it.mEndpoint + " got it from " + found->second->mRelay + " " +
                Milliseconds(*it.mDraining) + " after it had left");
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckCrashingPart() const
{
  CheckResult result{ "a prompt part that crashes endpoints is stopped", 0, 0, {} };
  std::map<std::string, std::vector<const Run*>> runsByPart;
  for (const auto& it : mEvidence.mRuns) {
    const auto found = mExchangesById.find(it.mId);
    if (it.mIsCrash && found != mExchangesById.end() && !found->second->mPart.empty()) {
      runsByPart[found->second->mPart].push_back(&it);
    }
  }
  for (auto& [part, runs] : runsByPart) {
    std::sort(runs.begin(), runs.end(), [](const Run* aLeft, const Run* aRight) {
      return aLeft->mAt < aRight->mAt;
    });
    for (const auto& it : mEvidence.mExchanges) {
      result.mCases += it.mPart == part && it.mStart > runs.front()->mAt ? 1 : 0;
    }
    if (runs.size() < kCrashesKnown) {
      continue;
    }
    const auto known = runs[kCrashesKnown - 1]->mAt + kStableTime;
    std::vector<const Run*> late;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(late), [&](const Run* aRun) {
      return aRun->mAt > known &&
             IsCalm(Subject::Relay, mExchangesById.at(aRun->mId)->mRelay, aRun->mAt, aRun->mAt);
    });
    if (late.size() > kRunsAfterKnown) {
      Violate(result,
              late[kRunsAfterKnown]->mId,
              "part " + part + " ended endpoints " + std::to_string(late.size()) +
                " times after it was known, " + std::to_string(runs.size()) + " times in all");
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckRollouts() const
{
  CheckResult result{ "a good version is completed, a bad one rolled back", 0, 0, {} };
  for (const auto& it : mEvidence.mRollouts) {
    if (!IsCalm(Subject::Relay, "", it.mOrdered, it.mDeadline) ||
        !IsCalm(Subject::Store, "", it.mOrdered, it.mDeadline) ||
        !AreEndpointsCalm(it.mOrdered, it.mDeadline)) {
      continue;
    }
    ++result.mCases;
    if (it.mState != (it.mIsBad ? "rolled_back" : "completed")) {
      Violate(result,
              "",
              "the " + std::string(it.mIsBad ? "bad " : "good ") + it.mVersion + " of " +
                it.mService + " ends as '" + it.mState + "'");
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckExposure() const
{
  CheckResult result{ "a bad version gets few requests", 0, 0, {} };
  for (const auto& rollout : mEvidence.mRollouts) {
    if (!rollout.mIsBad) {
      continue;
    }
    ++result.mCases;
    std::size_t all = 0;
    std::size_t exposed = 0;
    for (const auto& it : mEvidence.mRuns) {
      if (it.mAt >= rollout.mOrdered && it.mAt <= rollout.mDeadline &&
          it.mEndpoint.starts_with(rollout.mService)) {
        ++all;
        exposed += it.mVersion == rollout.mVersion ? 1 : 0;
      }
    }
    if (static_cast<double>(exposed) > kExposedShare * static_cast<double>(all) + kExposedSlack) {
      Violate(result,
              "",
              rollout.mVersion + " got " + std::to_string(exposed) + " of " + std::to_string(all) +
                " requests");
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckNotReadyWhileStopping() const
{
  CheckResult result{ "a stopping relay is not ready", 0, 0, {} };
  for (const auto& it : mEvidence.mReadiness) {
    const auto* life = LifeAt(it.mRelay, it.mAsked);
    if (life == nullptr || !life->mStopped || it.mAsked < *life->mStopped) {
      continue;
    }
    ++result.mCases;
    if (it.mIsReady && it.mAsked > *life->mStopped + kUnreadyTime) {
      Violate(result,
              "",
              it.mRelay + " is ready " + Milliseconds(it.mAsked - *life->mStopped) +
                " after SIGTERM");
    }
  }
  return result;
}

/** Returns whether a relay ended as it was told to. A stop signal that arrives before its main
    function runs, when it has accepted no connection, ends it by its default effect. */
bool PromiseChecker::HasEndedAsTold(const Life& aLife)
{
  const bool hasLoaded = *aLife.mStopped >= aLife.mBegin + kLoadTime;
  const auto status = aLife.mWaitStatus;
  return (WIFEXITED(status) && WEXITSTATUS(status) == 0) ||
         (!hasLoaded && WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM);
}

CheckResult PromiseChecker::CheckLives() const
{
  CheckResult result{ "a relay ends when told, in time, and only then", 0, 0, {} };
  for (const auto& it : mEvidence.mLives) {
    ++result.mCases;
    if (!it.mEnd || (it.mKilled && !it.mStopped)) {
      continue;
    }
    if (!it.mStopped) {
      Violate(
        result, "", it.mRelay + " ended by itself, wait status " + std::to_string(it.mWaitStatus));
    } else if (!it.mKilled && !HasEndedAsTold(it)) {
      Violate(result,
              "",
              it.mRelay + " ended after SIGTERM with wait status " +
                std::to_string(it.mWaitStatus));
    } else if (*it.mEnd > *it.mStopped + kStopTime &&
               IsCalm(Subject::Relay, it.mRelay, *it.mStopped, *it.mEnd)) {
      Violate(result,
              "",
              it.mRelay + " ended " + Milliseconds(*it.mEnd - *it.mStopped) + " after SIGTERM");
    }
  }
  return result;
}

CheckResult PromiseChecker::CheckRecovery() const
{
  CheckResult result{ "requests are served again after the last fault", 0, 0, {} };
  std::size_t served = 0;
  for (const auto& it : mEvidence.mExchanges) {
    if (it.mStart < mEvidence.mLastFaultEnd + kRecoveryTime || it.mIsGivenUp ||
        it.mKind == RequestKind::Probe || !it.mPart.empty() || it.mHasUnknownKey) {
      continue;
    }
    ++result.mCases;
    served += it.mStatus == kOk && it.mIsComplete ? 1 : 0;
  }
  if (static_cast<double>(served) < kRecoveredShare * static_cast<double>(result.mCases)) {
    Violate(
      result, "", std::to_string(served) + " of " + std::to_string(result.mCases) + " are served");
  }
  return result;
}

CheckResult PromiseChecker::CheckResources() const
{
  CheckResult result{ "memory and descriptors of relays are bounded", 0, 0, {} };
  for (const auto& it : mEvidence.mResources) {
    ++result.mCases;
    const auto maxDescriptors = it.mIsFinal ? kMaxIdleDescriptors : kMaxDescriptors;
    if (it.mResidentBytes > kMaxResidentBytes || it.mDescriptors > maxDescriptors) {
      Violate(result,
              "",
              it.mRelay + " holds " + std::to_string(it.mResidentBytes) + " bytes and " +
                std::to_string(it.mDescriptors) + " descriptors");
    }
  }
  return result;
}

} // namespace skylarkchute::soak
