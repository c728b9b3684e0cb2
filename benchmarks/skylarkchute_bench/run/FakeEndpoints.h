#pragma once

#include "FakeEngine.h"
#include "workload/GroundTruth.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace skylarkchute {

/** One attempt that is sent to an endpoint. */
struct EndpointAttempt
{
  AttemptFacts mFacts;
  DispatchStep mStep;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
  bool mCrashes = false; /**< The request crashes every endpoint that runs it. */
};

/** Callbacks from FakeEndpoints to its owner. */
struct EndpointCallbacks
{
  std::function<void(const AttemptId&)> mStarted; /**< The attempt got a slot. */
  std::function<void(const AttemptId&)> mFirstToken;
  std::function<void(const AttemptId&, const AttemptOutcome&)> mEnded;
};

/** Simulates all endpoints of a run and their faults. */
class FakeEndpoints
{
public:
  FakeEndpoints(Timeline& aTimeline,
                const Workload& aWorkload,
                const FaultPlan& aFaults,
                const GroundTruth& aGroundTruth);

  void SetCallbacks(EndpointCallbacks aCallbacks) { mCallbacks = std::move(aCallbacks); }

  /** Sends an attempt. Its outcome is reported by EndpointCallbacks unless it is cancelled. */
  void Send(const EndpointAttempt& aAttempt);

  /** Cancels an attempt; no callback follows. Does nothing if the attempt has ended. */
  void Cancel(const AttemptId& aAttempt);

  /** Starts and ends the faults that are due. Call it at least every 100 ms. */
  void Tick();

  /** Returns all endpoints as they appear in the platform's instance list. */
  std::vector<EndpointRecord> Records() const;

  /** Returns the current load of every endpoint that is up. */
  std::vector<LoadReport> Loads() const;

  /** Returns the number of endpoint crashes caused by requests. */
  std::uint64_t CrashCount() const { return mCrashCount; }

  ZoneName ZoneOf(const EndpointId& aEndpoint) const;

  /** Returns the time from which the endpoint is leaving, or an empty value if it is not. */
  std::optional<TimePoint> LeavingSince(const EndpointId& aEndpoint) const;

private:
  struct Endpoint
  {
    EndpointSpec mSpec;
    std::unique_ptr<FakeEngine> mEngine;
    bool mDown = false;
    std::optional<TimePoint> mLeavingSince;
    std::chrono::microseconds mDownUntil{ 0 }; /**< Since the start of the run. */
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
