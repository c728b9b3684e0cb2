#pragma once

#include "ChildProcess.h"
#include "Evidence.h"
#include "PortBlock.h"
#include "Schedule.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace skylarkchute::soak {

/** The store, the endpoints and the relays as processes. Causes the faults of a schedule and
   records what became of the processes. Used by one thread, except for ReadyRelays() and Version().
 */
class Fleet
{
public:
  /** Starts all processes and waits until the relays are ready.
      @param aBuild    build directory of the stand-ins
      @param aProgram  file of the relay's program
      @param aWork     directory for settings, logs and records
      @throws std::runtime_error  if a process does not start */
  Fleet(std::string aBuild, std::string aProgram, std::string aWork, std::uint32_t aRelays);

  /** Begins a fault. @returns false if its target is not there at the moment */
  bool Begin(const Fault& aFault);

  /** Ends a fault that Begin() has begun. */
  void End(const Fault& aFault);

  /** Restarts ended processes that are due, and samples readiness and resources. */
  void Tick();

  /** Takes the last samples; call after all clients have closed. */
  void SampleIdleRelays();

  /** Ends all processes and moves all that was recorded to @p aOut. */
  void Finish(Evidence& aOut);

  struct RelayPort
  {
    std::string mName;
    std::uint16_t mPort = 0;
  };

  /** Returns the relays that are ready; all of them if none is. Any thread. */
  std::vector<RelayPort> ReadyRelays() const;

  /** Returns the newest configuration that the operator has written. Any thread. */
  int Version() const { return mVersion; }

  /** Returns the part that crashes endpoints at the moment, else an empty text. Any thread. */
  std::string CrashingPart() const;

private:
  struct Relay
  {
    std::string mName;
    std::uint16_t mCallerPort = 0;
    std::uint16_t mReadyPort = 0;
    std::uint16_t mPeerPort = 0;
    std::uint16_t mForwardPort = 0;
    std::uint16_t mStorePort = 0; /**< On which it reaches the store. */
    std::unique_ptr<ChildProcess> mProcess = nullptr;
    std::size_t mLife = 0; /**< Index into mLives. */
    std::optional<TimePoint> mRestartAt = std::nullopt;
    int mMisses = 0;
    std::string mGrace = "8s"; /**< As in its settings. */
  };

  struct Endpoint
  {
    std::string mName;
    std::string mService;
    std::string mVersion;
    int mGeneration = 0;
    std::uint16_t mPort = 0;
    std::unique_ptr<ChildProcess> mProcess = nullptr;
    std::optional<TimePoint> mRestartAt = std::nullopt;
    bool mIsLeaving = false;
    std::string mCrashingPart = {}; /**< As switched on at the endpoint. */
  };

  void StartStore();
  void StartEndpoint(Endpoint& aEndpoint);
  std::string SettingsFile(const Relay& aRelay) const;
  void WriteSettings(const Relay& aRelay) const;
  void StartRelay(Relay& aRelay);
  std::uint16_t AwaitPort(ChildProcess& aProcess, const std::string& aLogFile) const;
  void AwaitReadiness();
  bool SetSwitch(std::uint16_t aPort, const std::string& aSwitches) const;
  void Configure(bool aHasTeams);
  void KillRelays();
  bool BeginRelayFault(const Fault& aFault);
  bool BeginEndpointFault(const Fault& aFault);
  void SetEndpointSwitches(const Fault& aFault, bool aIsBegin);
  std::string RejectionSwitches(const Fault& aFault) const;
  void BeginStoreFault(const Fault& aFault);
  void BeginCrashes();
  bool BeginRollout(const Fault& aFault);
  std::string RolloutState(const Rollout& aRollout) const;
  void SuperviseRollout();
  void ReplaceEndpoints();
  void SuperviseRelays();
  void SuperviseEndpoints();
  void SampleReadiness();
  void SampleResources(bool aIsFinal);
  void Disturb(Subject aSubject, const std::string& aName, TimePoint aBegin);
  void Calm(Subject aSubject, const std::string& aName);
  void ReadRecords();

  std::string mBuild;
  std::string mProgram;
  std::string mWork;
  PortBlock mPorts;
  std::unique_ptr<ChildProcess> mStore;
  std::uint16_t mStorePort = 0;
  std::vector<Endpoint> mEndpoints;
  std::vector<Endpoint> mNewEndpoints; /**< Of the roll-out that is under way. */
  std::vector<std::unique_ptr<ChildProcess>> mLeavingProcesses;
  std::vector<Relay> mRelays;
  std::string mSeeds;
  Evidence mEvidence;
  std::map<std::pair<Subject, std::string>, std::vector<TimePoint>> mOpenDisturbances;
  TimePoint mNextSample;
  TimePoint mNextCut;
  int mOpenCuts = 0;         /**< Faults in which watches are cut off. */
  bool mAwaitsTeams = false; /**< The store has not taken the configuration with teams yet. */
  std::atomic<int> mVersion{ 0 };
  int mCrashes = 0;
  mutable std::mutex mMutex; /**< Guards mReady and mCrashingPart. */
  std::vector<RelayPort> mReady;
  std::string mCrashingPart;
};

} // namespace skylarkchute::soak
