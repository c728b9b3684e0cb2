#pragma once

#include "RunRecord.h"
#include "workload/Workload.h"

#include <map>
#include <set>

namespace skylarkchute {

/** Checks the promises of the product on every step of every router. */
class PromiseChecker
{
public:
  explicit PromiseChecker(const Workload& aWorkload) : mWorkload(aWorkload) {}

  /** A router was told, or said itself, that the version gets no new work. */
  void OnStopped(std::size_t aInstance, const VersionId& aVersion);

  /** A router sends an attempt.
      @param aLeavingFor  how long the endpoint has been leaving, zero when it is not */
  void OnDispatch(const RequestRecord& aRecord,
                  const DispatchStep& aStep,
                  std::chrono::microseconds aLeavingFor);

  /** A router refuses a request. */
  void OnRefuse(const RequestRecord& aRecord, const RefuseStep& aStep);

  /** A router finishes a request.
      @param aIsWholeAnswer  whether the attempt is the request's own and complete */
  void OnFinish(const RequestRecord& aRecord, bool aIsWholeAnswer);

  /** The run has ended and every request had time to end. */
  void OnEnd(const RunRecord& aRun);

  /** Returns the version that a session keeps, if it is known. */
  std::optional<VersionId> PinOf(std::size_t aSession) const;

  /** Ends a session after a refusal; its caller sends no more in it. */
  void EndSession(std::size_t aSession) { mEnded.insert(aSession); }

  /** Returns whether the session has ended. */
  bool IsEnded(std::size_t aSession) const { return mEnded.count(aSession) > 0; }

  /** Returns every broken promise with the request's number. */
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  void AddViolation(const RequestRecord& aRecord, const std::string& aViolation);

  const Workload& mWorkload;
  std::map<std::size_t, std::set<VersionId>> mStopped;
  std::map<std::size_t, VersionId> mPins;
  std::set<std::size_t> mEnded;
  std::vector<std::string> mViolations;
};

} // namespace skylarkchute
