#pragma once

#include "FleetTable.h"
#include "RolloutEvaluator.h"
#include "RolloutOrder.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** A recently used subject that belongs to the canary share of a rollout.

    A subject is the longest shared part of a prompt. Its requests form a session, and a session
    stays on one version. */
struct SubjectUse
{
  std::uint64_t mSubject = 0;          /**< Hash of service and subject. */
  bool mIsNewer = false;               /**< Whether it used the newer version. */
  std::chrono::milliseconds mAge{ 0 }; /**< Time since the last use. */
};

/** Answer counts of one instance for one rollout, as exchanged between instances. The counts never
    decrease. */
struct RolloutEvidence
{
  ServiceName mService;
  std::string mTarget;
  IncarnationId mInstance;
  ComparedCounts mSum; /**< Over all classes of requests. */
  ClassCounts mClasses;
  std::chrono::milliseconds mAge{ 0 }; /**< Time since the order, as known to the instance. */
  bool mIsStopped = false;             /**< An instance found the version to be bad. */
  std::vector<SubjectUse> mUses;       /**< Uses known to the sender, on any instance. */
};

/** Limit on the requests sent to a version that turns out to be bad. */
struct ExposureBound
{
  double mShare = 0; /**< Share of all requests of the service since the order, 0 to 1. */
  double mSlack = 0; /**< Additional requests. */
};

/** Next action required from the driver of a rollout. */
enum class RolloutStep
{
  None,
  Complete,
  RollBack,
};

/** Tracks the version in use of each service and the rollouts that change it, and selects the
    version of each request.

    Limits the damage of a version that turns bad during its rollout. Each instance enforces its
    part of the exposure limit on its own. At first, a small canary share of the requests goes to a
    few endpoints of the newer version, so that these run at the load that they will have after the
    rollout. The evidence of all instances is pooled, and any instance stops the version at once. In
    the first half of the rollout, subjects stay on their version; only subjects that no instance
    has seen for a session lifetime move. In the last part all requests move, so that nothing is
    running on the older endpoints when they stop. */
class RolloutTracker
{
public:
  /** @param aSelf     incarnation of this instance
      @param aSession  session lifetime: longest pause between two requests of a session */
  RolloutTracker(IncarnationId aSelf, ExposureBound aBound, std::chrono::milliseconds aSession);

  /** Replaces the limits given to the constructor. */
  void SetBounds(ExposureBound aBound, std::chrono::milliseconds aSession)
  {
    mBound = aBound;
    mSessionLifetime = aSession;
  }

  /** Applies an order read from the store. A revision older than the known one is ignored.
      @param aAge  time since the order if known, else zero */
  void OnOrder(const RolloutOrder& aOrder, TimePoint aNow, std::chrono::milliseconds aAge);

  /** Ends the rollout of a service whose order was removed. A version that was on trial gets no
      requests any more; one that was completed or rolled back stays so. */
  void OnOrderRemoved(const ServiceName& aService);

  /** Selects the version for a request and keeps only the endpoints that may serve it.
      @param aKey   subject of the request; may be empty
      @param aOpen  open endpoints of the service; reduced to those of the selected version */
  void SelectVersion(const ServiceName& aService,
                     const std::string& aKey,
                     std::vector<FleetRow*>& aOpen,
                     TimePoint aNow);

  /** Records a request sent to a version, for the exposure limit and the version of its session. */
  void OnSent(const ServiceName& aService,
              const std::string& aVersion,
              const std::string& aKey,
              TimePoint aNow);

  /** Records the end of a request that may have run on a version. The lifetime of its session
     counts from then on. */
  void OnEnded(const ServiceName& aService,
               const std::string& aVersion,
               const std::string& aKey,
               TimePoint aNow);

  /** Counts answers of a version of a service to requests of one class. */
  void OnAnswer(const ServiceName& aService,
                const std::string& aVersion,
                RouteClass aClass,
                const VersionCounts& aCounts);

  /** Merges the counts of another instance. Counts lower than the known ones are ignored.
      @returns whether this stopped the version */
  bool OnEvidence(const RolloutEvidence& aEvidence, TimePoint aNow);

  /** Returns the counts of this instance for the running rollouts, and the most recently changed
      counts of a limited number of other instances. This keeps messages small in a large fleet,
      while counts still reach every instance. */
  std::vector<RolloutEvidence> Evidence(TimePoint aNow) const;

  /** Returns the next action that a service's rollout requires. */
  RolloutStep NextStep(const ServiceName& aService, TimePoint aNow) const;

  /** Returns the latest rollout order of a service, or null. */
  const RolloutOrder* Order(const ServiceName& aService) const;

  /** Returns the services that have a rollout order. */
  std::vector<ServiceName> Services() const;

  /** Returns whether a rollout of any service is running. */
  bool IsRunning() const;

  /** Sets the number of instances that share the exposure limit. */
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }

  /** Removes sessions that have ended. */
  void Prune(TimePoint aNow);

private:
  struct PeerEvidence
  {
    RolloutEvidence mEvidence;
    TimePoint mChanged{}; /**< When its counts last increased, as seen by this instance. */
  };

  struct Rollout
  {
    Rollout();

    RolloutOrder mOrder;
    TimePoint mStart{};
    bool mIsStopped = false;
    RolloutEvaluator mEvaluator;
    ComparedCounts mSum;  /**< Answers seen by this instance. */
    ClassCounts mClasses; /**< Answers seen by this instance. */
    std::map<IncarnationId, PeerEvidence> mPeers;
    std::uint64_t mSent = 0; /**< Requests sent by this instance since the order. */
    std::uint64_t mSentToNewer = 0;
  };

  struct Service
  {
    std::string mBaseVersion;     /**< Version in use; empty until endpoints are known. */
    bool mIsBaseInferred = false; /**< From the open endpoints, not from a completed order. */
    std::set<std::string> mRolledBack;
    std::optional<Rollout> mRollout;
  };

  struct Subject
  {
    std::string mVersion;
    TimePoint mLastUse{};
  };

  double Progress(const Rollout& aRollout, TimePoint aNow) const;
  double CanaryShare(const Rollout& aRollout) const;
  bool MayExpose(const Rollout& aRollout, double aLimit) const;
  bool SelectsNewer(const Rollout& aRollout,
                    std::uint64_t aSubject,
                    bool aHasSubject,
                    TimePoint aNow) const;
  bool MayReplaceOlder(const Rollout& aRollout, TimePoint aNow) const;
  std::vector<SubjectUse> UsesInCanary(const Rollout& aRollout, TimePoint aNow) const;
  void MergeUses(const Rollout& aRollout,
                 const std::string& aBase,
                 const std::vector<SubjectUse>& aUses,
                 TimePoint aNow);
  static bool IsBaseOnTrial(const Service& aService);
  void InferBase(Service& aService, const std::vector<FleetRow*>& aRows) const;
  static void MergeCounts(Rollout& aRollout, PeerEvidence& aPeer, const RolloutEvidence& aEvidence);
  void Stop(Rollout& aRollout);

  IncarnationId mSelf;
  ExposureBound mBound;
  std::chrono::milliseconds mSessionLifetime;
  std::size_t mInstances = 1;
  std::map<ServiceName, Service> mServices;
  std::unordered_map<std::uint64_t, Subject> mSubjects; /**< By hash of service and subject. */
  TimePoint mTrackingSince{}; /**< When this instance began to track uses of subjects. */
  std::uint64_t mSubjectlessRequests = 0; /**< Count; its hash replaces a missing subject. */
};

} // namespace skylarkchute
