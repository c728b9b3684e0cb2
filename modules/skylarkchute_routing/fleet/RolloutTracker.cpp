#include "RolloutTracker.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Fractions of a rollout's period at which its phases begin. Sessions may move after the first
    half. The last phase leaves time for answers in progress before the older endpoints stop. */
constexpr double kSessionMoveStart = 0.51; /**< Subjects in use may move. */
constexpr double kRampStart = 0.55;        /**< The share grows from the canary share to 1. */
constexpr double kFullShareStart = 0.75;   /**< All requests use the newer version. */
constexpr double kCompletionStart = 0.88;  /**< The rollout may be completed. */

/** Share of the subjects that may use the newer version at first, in fleets of up to
    kSmallFleet instances. In larger ones, with their greater traffic, a smaller share gives enough
    answers. A use takes longer to be known to all there, so more sessions would change their
    version in between. */
constexpr double kCanaryShare = 0.08;
constexpr double kSmallFleet = 12;

/** Canary share from kRampStart on if the newer version has not returned kMinAnswers yet. It
    grows to 1 between kRampStart and kFullShareStart, since the few subjects in use may all be late
    in the move order. The exposure limit still applies. */
constexpr double kLowTrafficCanaryShare = 0.5;

/** Upper limit of the exposed share in the canary phase: chance may bring more than the canary
    share. */
constexpr double kMaxCanaryExposure = 1.2 * kCanaryShare;

/** Fraction that one instance uses of its share of the exposure limit, because requests that other
    instances are about to send are not counted yet. */
constexpr double kUsableExposure = 0.75;

/** Minimum number of answers of the newer version before its share may grow. */
constexpr std::uint64_t kMinAnswers = 20;

constexpr std::size_t kMaxSubjects = 50000;

/** Approximate time until the use of a subject is known to the other instances. */
constexpr std::chrono::milliseconds kPropagationDelay{ 1000 };

/** Session lifetime for which kCanaryShare gives enough answers, and the largest factor by which
    longer ones raise it. */
constexpr std::chrono::milliseconds kUsualSession{ 5000 };
constexpr double kMaxCanaryGrowth = 3;

/** Peer counts are forwarded for this long after a change; by then all instances know them. */
constexpr std::chrono::milliseconds kForwardPeriod{ 4000 };

/** Uses of subjects are sent for this long; by then all instances know them. */
constexpr std::chrono::milliseconds kUseReportPeriod{ 2500 };

/** Maximum number of peers whose counts are forwarded in one message. */
constexpr std::size_t kMaxForwardedPeers = 15;

std::uint64_t SubjectOf(const ServiceName& aService, const std::string& aKey)
{
  return StableHash(aKey, StableHash(aService.Value()));
}

/** Returns the subject's position, 0 to 1, in the order in which subjects move to a version. */
double MoveOrderOf(std::uint64_t aSubject, const std::string& aTarget)
{
  constexpr double kRange = 1.0 / 4294967296.0;
  return static_cast<double>(StableHash(aTarget, aSubject) >> 32U) * kRange;
}

/** Returns the share of subjects that try a version without sufficient evidence.
    @param aProgress  elapsed part of the period, from kRampStart on */
double LowTrafficShare(double aProgress)
{
  const double part =
    std::clamp((aProgress - kRampStart) / (kFullShareStart - kRampStart), 0.0, 1.0);
  return kLowTrafficCanaryShare + (1 - kLowTrafficCanaryShare) * part;
}

void KeepVersion(std::vector<FleetRow*>& aRows, const std::string& aVersion)
{
  std::erase_if(aRows, [&](const auto* aRow) { return aRow->mEntry.mVersion != aVersion; });
}

bool HasVersion(const std::vector<FleetRow*>& aRows, const std::string& aVersion)
{
  return std::any_of(aRows.begin(), aRows.end(), [&](const auto* aRow) {
    return aRow->mEntry.mVersion == aVersion;
  });
}

/** Reduces the rows to the given share of them, at least one, so that each endpoint runs at the
    load that it would have with full traffic. */
void KeepCanaryEndpoints(std::vector<FleetRow*>& aRows, double aShare)
{
  const auto most =
    std::max<std::size_t>(1, static_cast<std::size_t>(aShare * static_cast<double>(aRows.size())));
  if (aRows.size() <= most) {
    return;
  }
  std::sort(aRows.begin(), aRows.end(), [](const auto* aLeft, const auto* aRight) {
    return StableHash(aLeft->mEntry.mId.Value()) < StableHash(aRight->mEntry.mId.Value());
  });
  aRows.resize(most);
}

} // namespace

// Defined out of line: std::optional<Rollout> is used before the enclosing class is complete.
RolloutTracker::Rollout::Rollout() = default;

RolloutTracker::RolloutTracker(IncarnationId aSelf,
                               ExposureBound aBound,
                               std::chrono::milliseconds aSession)
  : mSelf(std::move(aSelf))
  , mBound(aBound)
  , mSessionLifetime(aSession)
{
}

void RolloutTracker::OnOrder(const RolloutOrder& aOrder,
                             TimePoint aNow,
                             std::chrono::milliseconds aAge)
{
  auto& service = mServices[aOrder.mService];
  const bool isKnown = service.mRollout && service.mRollout->mOrder.mTarget == aOrder.mTarget;
  if (isKnown && aOrder.mRevision < service.mRollout->mOrder.mRevision) {
    return;
  }
  if (!isKnown) {
    service.mRollout.emplace();
    service.mRollout->mStart = aNow - aAge;
  }
  service.mRollout->mOrder = aOrder;
  if (aOrder.mState == RolloutState::Completed) {
    service.mBaseVersion = aOrder.mTarget;
    service.mIsBaseInferred = false;
    service.mRolledBack.erase(aOrder.mTarget);
  } else if (aOrder.mState == RolloutState::RolledBack) {
    service.mRolledBack.insert(aOrder.mTarget);
    if (service.mBaseVersion == aOrder.mTarget) {
      service.mBaseVersion.clear();
    }
    Stop(*service.mRollout);
  }
}

void RolloutTracker::OnOrderRemoved(const ServiceName& aService)
{
  const auto service = mServices.find(aService);
  if (service != mServices.end()) {
    service->second.mRollout.reset();
  }
}

/** Returns whether an order tries the version that is taken for the one in use: it was inferred
    before the order was known. */
bool RolloutTracker::IsBaseOnTrial(const Service& aService)
{
  return aService.mIsBaseInferred && aService.mRollout &&
         aService.mRollout->mOrder.mState != RolloutState::Completed &&
         aService.mRollout->mOrder.mTarget == aService.mBaseVersion;
}

void RolloutTracker::InferBase(Service& aService, const std::vector<FleetRow*>& aRows) const
{
  const bool hasOpenOrder =
    aService.mRollout && aService.mRollout->mOrder.mState != RolloutState::Completed;
  const std::string target = hasOpenOrder ? aService.mRollout->mOrder.mTarget : std::string();
  std::map<std::string, std::size_t> counts;
  for (const auto* it : aRows) {
    if (it->mEntry.mVersion != target && aService.mRolledBack.count(it->mEntry.mVersion) == 0) {
      ++counts[it->mEntry.mVersion];
    }
  }
  const auto most =
    std::max_element(counts.begin(), counts.end(), [](const auto& aL, const auto& aR) {
      return aL.second < aR.second;
    });
  if (most != counts.end()) {
    aService.mBaseVersion = most->first;
    aService.mIsBaseInferred = true;
  }
}

double RolloutTracker::Progress(const Rollout& aRollout, TimePoint aNow) const
{
  const auto period = std::max(aRollout.mOrder.mPeriod, std::chrono::milliseconds(1));
  return std::chrono::duration<double>(aNow - aRollout.mStart) / period;
}

/** Returns the share of the subjects that may use the newer version at first. It is larger where
    sessions last longer: the trial then begins later, and has to give as many answers in less time
    before sessions may move. */
double RolloutTracker::CanaryShare(const Rollout& aRollout) const
{
  using Seconds = std::chrono::duration<double>;
  const auto instances = static_cast<double>(std::max<std::size_t>(mInstances, 1));
  const double share = kCanaryShare * std::min(1.0, std::sqrt(kSmallFleet / instances));
  const Seconds end = kSessionMoveStart * Seconds(aRollout.mOrder.mPeriod);
  const Seconds usual = end - Seconds(kUsualSession + kPropagationDelay);
  const Seconds left = end - Seconds(mSessionLifetime + kPropagationDelay);
  if (left <= Seconds(0)) {
    return share;
  }
  return share * std::clamp(usual / left, 1.0, kMaxCanaryGrowth);
}

/** Returns whether one more request to the newer version keeps to this instance's part of a limit.
    @param aLimit  share of all requests, 0 to 1 */
bool RolloutTracker::MayExpose(const Rollout& aRollout, double aLimit) const
{
  const double slack = mBound.mSlack / static_cast<double>(std::max<std::size_t>(mInstances, 1));
  return static_cast<double>(aRollout.mSentToNewer) + 1 <=
         kUsableExposure * (aLimit * static_cast<double>(aRollout.mSent) + slack);
}

/** Returns whether the newer version may get a request because no endpoint of the older one is
    open. */
bool RolloutTracker::MayReplaceOlder(const Rollout& aRollout, TimePoint aNow) const
{
  return Progress(aRollout, aNow) >= kCompletionStart || MayExpose(aRollout, mBound.mShare);
}

bool RolloutTracker::SelectsNewer(const Rollout& aRollout,
                                  std::uint64_t aSubject,
                                  bool aHasSubject,
                                  TimePoint aNow) const
{
  const auto& target = aRollout.mOrder.mTarget;
  const double progress = Progress(aRollout, aNow);
  const auto known = mSubjects.find(aSubject);
  const bool isInSession = aHasSubject && known != mSubjects.end() &&
                           aNow - known->second.mLastUse < mSessionLifetime + kPropagationDelay;
  if (isInSession && known->second.mVersion == target) {
    return true;
  }
  const bool hasEvidence = aRollout.mEvaluator.NewerAnswers() >= kMinAnswers;
  if (progress >= kFullShareStart && hasEvidence) {
    return true;
  }
  const double moveOrder = MoveOrderOf(aSubject, target);
  const double canaryShare = CanaryShare(aRollout);
  if (progress >= kRampStart && hasEvidence) {
    // Subjects move gradually, so that the newer endpoints do not process all prompts at once.
    const double part = (progress - kRampStart) / (kFullShareStart - kRampStart);
    return moveOrder < canaryShare + (1 - canaryShare) * part;
  }
  const bool hasLowTraffic = progress >= kRampStart && !hasEvidence;
  if (moveOrder >= (hasLowTraffic ? LowTrafficShare(progress) : canaryShare) ||
      !MayExpose(aRollout, std::min(kMaxCanaryExposure, mBound.mShare))) {
    return false;
  }
  if (progress >= kSessionMoveStart || !aHasSubject) {
    return true;
  }
  // Uses on other instances are known only after this instance has tracked them for a session
  // lifetime.
  const auto trackedTime = aNow - std::max(mTrackingSince, aRollout.mStart);
  return !isInSession && trackedTime >= mSessionLifetime + kPropagationDelay;
}

void RolloutTracker::SelectVersion(const ServiceName& aService,
                                   const std::string& aKey,
                                   std::vector<FleetRow*>& aOpen,
                                   TimePoint aNow)
{
  if (mTrackingSince == TimePoint{}) {
    mTrackingSince = aNow;
  }
  auto& service = mServices[aService];
  if (!HasVersion(aOpen, service.mBaseVersion) || IsBaseOnTrial(service)) {
    InferBase(service, aOpen);
  }
  auto& rollout = service.mRollout;
  const bool isRunning =
    rollout && rollout->mOrder.mState == RolloutState::Running && !rollout->mIsStopped;
  if (isRunning && HasVersion(aOpen, rollout->mOrder.mTarget)) {
    const bool hasOlder = HasVersion(aOpen, service.mBaseVersion);
    const double progress = Progress(*rollout, aNow);
    const auto subject =
      aKey.empty() ? StableHash({}, ++mSubjectlessRequests) : SubjectOf(aService, aKey);
    if (SelectsNewer(*rollout, subject, !aKey.empty(), aNow) ||
        (!hasOlder && MayReplaceOlder(*rollout, aNow))) {
      KeepVersion(aOpen, rollout->mOrder.mTarget);
      if (hasOlder && progress < kRampStart) {
        KeepCanaryEndpoints(aOpen, CanaryShare(*rollout));
      }
      return;
    }
  }
  KeepVersion(aOpen, service.mBaseVersion);
}

void RolloutTracker::OnSent(const ServiceName& aService,
                            const std::string& aVersion,
                            const std::string& aKey,
                            TimePoint aNow)
{
  auto& service = mServices[aService];
  if (service.mRollout && service.mRollout->mOrder.mState == RolloutState::Running) {
    ++service.mRollout->mSent;
    if (aVersion == service.mRollout->mOrder.mTarget) {
      ++service.mRollout->mSentToNewer;
    }
  }
  if (!aKey.empty() && mSubjects.size() < kMaxSubjects) {
    mSubjects[SubjectOf(aService, aKey)] = Subject{ aVersion, aNow };
  }
}

void RolloutTracker::OnEnded(const ServiceName& aService,
                             const std::string& aVersion,
                             const std::string& aKey,
                             TimePoint aNow)
{
  if (aKey.empty() || mSubjects.size() >= kMaxSubjects) {
    return;
  }
  auto& subject =
    mSubjects.try_emplace(SubjectOf(aService, aKey), Subject{ aVersion, aNow }).first->second;
  // A subject that moved on meanwhile stays on its new version.
  if (subject.mVersion == aVersion) {
    subject.mLastUse = aNow;
  }
}

void RolloutTracker::OnAnswer(const ServiceName& aService,
                              const std::string& aVersion,
                              RouteClass aClass,
                              const VersionCounts& aCounts)
{
  auto& rollout = mServices[aService].mRollout;
  if (!rollout || rollout->mOrder.mState != RolloutState::Running) {
    return;
  }
  ComparedCounts counts;
  (aVersion == rollout->mOrder.mTarget ? counts.mNewer : counts.mOlder) = aCounts;
  rollout->mSum += counts;
  EntryOfClass(rollout->mClasses, aClass) += counts;
  rollout->mEvaluator.AddToSum(counts);
  rollout->mEvaluator.AddToClass(aClass, counts);
  if (rollout->mEvaluator.IsBad()) {
    Stop(*rollout);
  }
}

/** Counts what a peer has seen since its evidence was last merged. */
void RolloutTracker::MergeCounts(Rollout& aRollout,
                                 PeerEvidence& aPeer,
                                 const RolloutEvidence& aEvidence)
{
  auto& known = aPeer.mEvidence;
  aRollout.mEvaluator.AddToSum(aEvidence.mSum - known.mSum);
  known.mSum = aEvidence.mSum;
  for (const auto& [routeClass, counts] : aEvidence.mClasses) {
    auto& knownCounts = EntryOfClass(known.mClasses, routeClass);
    if (counts.Includes(knownCounts)) {
      aRollout.mEvaluator.AddToClass(routeClass, counts - knownCounts);
      knownCounts = counts;
    }
  }
}

bool RolloutTracker::OnEvidence(const RolloutEvidence& aEvidence, TimePoint aNow)
{
  const auto service = mServices.find(aEvidence.mService);
  if (service == mServices.end() || !service->second.mRollout ||
      service->second.mRollout->mOrder.mTarget != aEvidence.mTarget) {
    return false;
  }
  auto& rollout = *service->second.mRollout;
  rollout.mStart = std::min(rollout.mStart, aNow - aEvidence.mAge);
  MergeUses(rollout, service->second.mBaseVersion, aEvidence.mUses, aNow);
  const bool wasStopped = rollout.mIsStopped;
  if (aEvidence.mInstance != mSelf) {
    auto& peer = rollout.mPeers[aEvidence.mInstance];
    auto& known = peer.mEvidence;
    if (aEvidence.mSum.Includes(known.mSum)) {
      if (known.mSum != aEvidence.mSum) {
        peer.mChanged = aNow;
      }
      MergeCounts(rollout, peer, aEvidence);
      known.mService = aEvidence.mService;
      known.mTarget = aEvidence.mTarget;
      known.mInstance = aEvidence.mInstance;
    }
  }
  if (aEvidence.mIsStopped || rollout.mEvaluator.IsBad()) {
    Stop(rollout);
  }
  return rollout.mIsStopped && !wasStopped;
}

std::vector<RolloutEvidence> RolloutTracker::Evidence(TimePoint aNow) const
{
  std::vector<RolloutEvidence> all;
  for (const auto& [name, service] : mServices) {
    if (!service.mRollout || service.mRollout->mOrder.mState != RolloutState::Running) {
      continue;
    }
    const auto& rollout = *service.mRollout;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - rollout.mStart);
    all.push_back({ name,
                    rollout.mOrder.mTarget,
                    mSelf,
                    rollout.mSum,
                    rollout.mClasses,
                    age,
                    rollout.mIsStopped,
                    UsesInCanary(rollout, aNow) });
    std::vector<const PeerEvidence*> recentPeers;
    for (const auto& [instance, peer] : rollout.mPeers) {
      if (aNow - peer.mChanged < kForwardPeriod) {
        recentPeers.push_back(&peer);
      }
    }
    std::sort(recentPeers.begin(), recentPeers.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mChanged > aRight->mChanged;
    });
    recentPeers.resize(std::min(recentPeers.size(), kMaxForwardedPeers));
    for (const auto* it : recentPeers) {
      all.push_back(it->mEvidence);
      all.back().mAge = age;
      all.back().mIsStopped = rollout.mIsStopped;
      all.back().mUses.clear();
    }
  }
  return all;
}

RolloutStep RolloutTracker::NextStep(const ServiceName& aService, TimePoint aNow) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end() || !service->second.mRollout) {
    return RolloutStep::None;
  }
  const auto& rollout = *service->second.mRollout;
  if (rollout.mOrder.mState != RolloutState::Running) {
    return RolloutStep::None;
  }
  if (rollout.mIsStopped) {
    return RolloutStep::RollBack;
  }
  const bool hasEvidence = rollout.mEvaluator.NewerAnswers() >= kMinAnswers;
  return hasEvidence && Progress(rollout, aNow) >= kCompletionStart ? RolloutStep::Complete
                                                                    : RolloutStep::None;
}

const RolloutOrder* RolloutTracker::Order(const ServiceName& aService) const
{
  const auto service = mServices.find(aService);
  return service == mServices.end() || !service->second.mRollout
           ? nullptr
           : &service->second.mRollout->mOrder;
}

std::vector<ServiceName> RolloutTracker::Services() const
{
  std::vector<ServiceName> names;
  for (const auto& [name, service] : mServices) {
    if (service.mRollout) {
      names.push_back(name);
    }
  }
  return names;
}

bool RolloutTracker::IsRunning() const
{
  return std::any_of(mServices.begin(), mServices.end(), [](const auto& aEntry) {
    const auto& rollout = aEntry.second.mRollout;
    return rollout && rollout->mOrder.mState == RolloutState::Running;
  });
}

std::vector<SubjectUse> RolloutTracker::UsesInCanary(const Rollout& aRollout, TimePoint aNow) const
{
  std::vector<SubjectUse> uses;
  if (aRollout.mIsStopped || Progress(aRollout, aNow) >= kSessionMoveStart) {
    return uses;
  }
  const double canaryShare = CanaryShare(aRollout);
  for (const auto& [subject, known] : mSubjects) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - known.mLastUse);
    if (age < kUseReportPeriod && MoveOrderOf(subject, aRollout.mOrder.mTarget) < canaryShare) {
      uses.push_back({ subject, known.mVersion == aRollout.mOrder.mTarget, age });
    }
  }
  return uses;
}

void RolloutTracker::MergeUses(const Rollout& aRollout,
                               const std::string& aBase,
                               const std::vector<SubjectUse>& aUses,
                               TimePoint aNow)
{
  for (const auto& it : aUses) {
    auto& known = mSubjects[it.mSubject];
    const auto lastUse = aNow - it.mAge;
    // A subject that moved on one instance has moved for all, regardless of which use is latest.
    const bool isMove = it.mIsNewer && known.mVersion != aRollout.mOrder.mTarget;
    if (lastUse > known.mLastUse || isMove) {
      known.mVersion = it.mIsNewer ? aRollout.mOrder.mTarget : aBase;
      known.mLastUse = std::max(lastUse, known.mLastUse);
    }
  }
}

void RolloutTracker::Prune(TimePoint aNow)
{
  std::erase_if(mSubjects, [&](const auto& aSubject) {
    return aNow - aSubject.second.mLastUse >= mSessionLifetime + kPropagationDelay;
  });
}

void RolloutTracker::Stop(Rollout& aRollout)
{
  aRollout.mIsStopped = true;
}

} // namespace skylarkchute
