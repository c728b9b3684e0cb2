#pragma once

#include "RunRecord.h"
#include "workload/Workload.h"

#include <map>
#include <set>

namespace skylarkchute {

/** Checks every step of every router against the promises, the guarantees that the product gives
    its callers. */
class PromiseChecker
{
public:
  explicit PromiseChecker(const Workload& aWorkload) : mWorkload(aWorkload) {}

  /** Records that a router stopped a version or was instructed to stop it; it must not
      dispatch to it again. */
  void OnStopped(std::size_t aInstance, const VersionId& aVersion);

  /** Checks an attempt that a router dispatches.
      @param aLeavingFor  how long the endpoint has been leaving, zero if it is not */
  void OnDispatch(const RequestRecord& aRecord,
                  const DispatchStep& aStep,
                  std::chrono::microseconds aLeavingFor);

  /** Checks the refusal of a request. */
  void OnRefuse(const RequestRecord& aRecord, const RefuseStep& aStep);

  /** Checks the answer to a request.
      @param aIsWholeAnswer  whether the attempt belongs to the request and is complete */
  void OnFinish(const RequestRecord& aRecord, bool aIsWholeAnswer);

  /** Checks all requests after the run; by then every deadline has passed. */
  void OnEnd(const RunRecord& aRun);

  /** Returns the version that a session is pinned to; empty before its first dispatch. */
  std::optional<VersionId> PinOf(std::size_t aSession) const;

  /** Ends a session after a refusal; its caller sends no further requests in it. */
  void EndSession(std::size_t aSession) { mEnded.insert(aSession); }

  bool IsEnded(std::size_t aSession) const { return mEnded.count(aSession) > 0; }

  /** Returns the violations of the promises with their request numbers, at most the first 20. */
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
