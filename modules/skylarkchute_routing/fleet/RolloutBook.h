#pragma once

#include "FleetTable.h"
#include "RolloutJudge.h"
#include "RolloutOrder.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** A subject that was in use lately and is among those on which the newer version is tried. */
struct SubjectUse
{
  std::uint64_t mSubject = 0; /**< Hash of service and subject. */
  bool mIsNewer = false;      /**< The version that it used. */
  std::chrono::milliseconds mAge{ 0 };
};

/** Counts of one instance on one rollout, as instances tell each other. Only ever grow. */
struct RolloutEvidence
{
  ServiceName mService;
  std::string mTarget;
  IncarnationId mInstance;
  VersionCounts mOlder;
  VersionCounts mNewer;
  std::chrono::milliseconds mAge{ 0 }; /**< Time since the order, as the instance knows it. */
  bool mIsStopped = false;             /**< Somebody found the version bad. */
  std::vector<SubjectUse> mUses;       /**< On any instance, as far as known. */
};

/** Bounds of what a version that turns out bad may get. */
struct ExposureBound
{
  double mShare = 0; /**< Of all requests of the service since the order. */
  double mSlack = 0; /**< Further requests. */
};

/** What a rollout needs next from whoever drives it. */
enum class RolloutStep
{
  None,
  Complete,
  RollBack,
};

/** Which versions of each service may get requests, and the rollouts that change this.

    Answers a version that turns bad while it is rolled in. Each instance holds its part of the
    exposure bound by itself; a few endpoints of the newer version get a small share, at the load
    that they would have later; evidence of all instances is pooled, and any of them stops the
    version at once. Subjects keep their version through the first half: only those move that no
    instance has seen for the length of a session. In the last part all requests move, so that
    nothing runs on the older endpoints when they stop. */
class RolloutBook
{
public:
  /** @param aSelf     this incarnation
      @param aSession  requests of a session follow each other within this time */
  RolloutBook(IncarnationId aSelf, ExposureBound aBound, std::chrono::milliseconds aSession);

  /** Puts other bounds in force, as at the start. */
  void SetBounds(ExposureBound aBound, std::chrono::milliseconds aSession)
  {
    mBound = aBound;
    mSessionLifetime = aSession;
  }

  /** Takes in the order as the store holds it.
      @param aAge  time since the order if known, else zero */
  void OnOrder(const RolloutOrder& aOrder, TimePoint aNow, std::chrono::milliseconds aAge);

  /** Chooses the endpoints for a request of a service.
      @param aKey   session or subject of the request
      @param aOpen  endpoints of the service that may get requests; those of the version chosen
                    remain */
  void SelectVersion(const ServiceName& aService,
                     const std::string& aKey,
                     std::vector<FleetRow*>& aOpen,
                     TimePoint aNow);

  /** Notes a request sent to a version, for the exposure bound and its session. */
  void OnSent(const ServiceName& aService,
              const std::string& aVersion,
              const std::string& aKey,
              TimePoint aNow);

  /** Counts answers of a version of a service. */
  void OnAnswer(const ServiceName& aService,
                const std::string& aVersion,
                const VersionCounts& aCounts);

  /** Takes in what another instance counted. Older news are ignored.
      @returns whether a version was stopped by it */
  bool OnEvidence(const RolloutEvidence& aEvidence, TimePoint aNow);

  /** Returns the own counts on the running rollouts, and the latest news of a few instances: so
      that a message stays small in a large fleet, and news still spread. */
  std::vector<RolloutEvidence> Evidence(TimePoint aNow) const;

  /** Returns what a rollout needs next. */
  RolloutStep NextStep(const ServiceName& aService, TimePoint aNow) const;

  /** Returns the order of a service, or null. */
  const RolloutOrder* Order(const ServiceName& aService) const;

  /** Returns the services that have an order. */
  std::vector<ServiceName> Services() const;

  /** Sets the number of instances that share the exposure. */
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }

  /** Forgets sessions that have ended. */
  void Prune(TimePoint aNow);

private:
  struct PeerEvidence
  {
    RolloutEvidence mEvidence;
    TimePoint mChanged{}; /**< When its counts last grew here. */
  };

  struct Rollout
  {
    Rollout();

    RolloutOrder mOrder;
    TimePoint mStart{};
    bool mIsStopped = false;
    RolloutJudge mJudge;
    VersionCounts mOlder; /**< Of this instance. */
    VersionCounts mNewer;
    std::map<IncarnationId, PeerEvidence> mPeers;
    std::uint64_t mSent = 0; /**< Requests of the service, this instance, since the order. */
    std::uint64_t mSentToNewer = 0;
  };

  struct Service
  {
    std::string mBase; /**< Version in use; empty until endpoints were seen. */
    std::set<std::string> mRolledBack;
    std::optional<Rollout> mRollout;
  };

  struct Subject
  {
    std::string mVersion;
    TimePoint mLastUse{};
  };

  double Progress(const Rollout& aRollout, TimePoint aNow) const;
  bool MayExpose(const Rollout& aRollout, double aShare) const;
  bool ChoosesNewer(const Rollout& aRollout,
                    std::uint64_t aSubject,
                    bool aHasSubject,
                    TimePoint aNow) const;
  std::vector<SubjectUse> UsesInTrial(const Rollout& aRollout, TimePoint aNow) const;
  void NoteUses(const Rollout& aRollout,
                const std::string& aBase,
                const std::vector<SubjectUse>& aUses,
                TimePoint aNow);
  void LearnBase(Service& aService, const std::vector<FleetRow*>& aRows) const;
  void Stop(Rollout& aRollout);

  IncarnationId mSelf;
  ExposureBound mBound;
  std::chrono::milliseconds mSessionLifetime;
  std::size_t mInstances = 1;
  std::map<ServiceName, Service> mServices;
  std::unordered_map<std::uint64_t, Subject> mSubjects; /**< By hash of service and subject. */
  TimePoint mSince{};       /**< When this instance began to see uses. */
  std::uint64_t mDraws = 0; /**< For requests without a subject. */
};

} // namespace skylarkchute
