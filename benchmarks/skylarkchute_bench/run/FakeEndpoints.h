#pragma once

#include "FakeEngine.h"
#include "workload/GroundTruth.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace skylarkchute {

/** One attempt on its way to an endpoint. */
struct EndpointAttempt
{
  AttemptFacts mFacts;
  DispatchStep mStep;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
  bool mCrashes = false; /**< The request crashes every endpoint that runs it. */
};

/** Calls that the field makes to its owner. */
struct EndpointCallbacks
{
  std::function<void(const AttemptId&)> mStarted;
  std::function<void(const AttemptId&)> mFirstToken;
  std::function<void(const AttemptId&, const AttemptOutcome&)> mEnded;
};

/** All endpoints of a run, with their faults. */
class FakeEndpoints
{
public:
  FakeEndpoints(Timeline& aTimeline,
                const Workload& aWorkload,
                const FaultPlan& aFaults,
                const GroundTruth& aGroundTruth);

  void SetCallbacks(EndpointCallbacks aCallbacks) { mCallbacks = std::move(aCallbacks); }

  /** Sends an attempt; its outcome comes by EndpointCallbacks unless it is cancelled. */
  void Send(const EndpointAttempt& aAttempt);

  /** Drops an attempt that is no longer wanted. */
  void Cancel(const AttemptId& aAttempt);

  /** Brings about the faults that are due. Call about every 100 ms. */
  void Tick();

  /** Returns the endpoints as the instance list gives them. */
  std::vector<EndpointRecord> Records() const;

  /** Returns the current load of every endpoint that is up. */
  std::vector<LoadReport> Loads() const;

  std::uint64_t CrashCount() const { return mCrashCount; }

  /** Returns the zone of an endpoint. */
  ZoneName ZoneOf(const EndpointId& aEndpoint) const;

  /** Returns since when the endpoint has been leaving, if it is. */
  std::optional<TimePoint> LeavingSince(const EndpointId& aEndpoint) const;

private:
  struct Endpoint
  {
    EndpointSpec mSpec;
    std::unique_ptr<FakeEngine> mEngine;
    bool mDown = false;
    std::optional<TimePoint> mLeavingSince;
    std::chrono::microseconds mDownUntil{ 0 };
  };

  struct OpenAttempt
  {
    EndpointAttempt mAttempt;
    std::size_t mEndpoint = 0;
    TimePoint mSent;
    std::chrono::microseconds mFirstToken{ 0 };
  };

  std::chrono::microseconds Elapsed() const
  {
    return std::chrono::duration_cast<std::chrono::microseconds>(mTimeline.Now() - mStart);
  }
  std::size_t IndexOf(const EndpointId& aEndpoint) const;
  EngineJob MakeJob(const EndpointAttempt& aAttempt);
  void End(const AttemptId& aAttempt, AttemptEnd aEnd, Verdict aVerdict);
  void OnStart(const AttemptId& aAttempt);
  void CrashEndpoint(std::size_t aIndex, std::chrono::microseconds aDownTime);
  bool IsDownByFault(std::size_t aIndex) const;

  Timeline& mTimeline;
  const Workload& mWorkload;
  FaultPlan mFaults;
  const GroundTruth& mGroundTruth;
  TimePoint mStart;
  EndpointCallbacks mCallbacks;
  std::vector<Endpoint> mEndpoints;
  std::map<AttemptId, OpenAttempt> mOpen;
  std::uint64_t mCrashCount = 0;
};

} // namespace skylarkchute
