#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** Tracks requests that were running on an endpoint when it crashed. A request is identified by a
    fingerprint of its path, caller and body.

    Guards against a request that crashes every endpoint that runs it and is retried on any
    instance. Once two different endpoint incarnations have crashed while running it, all instances
    refuse it for a limited time and then try it again. A lost connection alone does not count as a
    crash: the endpoint must be unreachable right afterwards, and the request must not have received
    its first byte. A successful answer to the same request clears it. */
class CrashSuspects
{
public:
  /** One crash, as exchanged between instances. */
  struct Crash
  {
    std::uint64_t mFingerprint = 0;
    std::string mEndpoint; /**< Id and incarnation of the endpoint. */
  };

  /** Records that a request lost its connection before the first byte of the answer. */
  void OnLost(const Crash& aCrash, TimePoint aNow);

  /** Records that an endpoint was unreachable right after requests were lost there, which makes
      these requests crash suspects.
      @returns the crashes that were not known before */
  std::vector<Crash> OnEndpointDown(const std::string& aEndpoint, TimePoint aNow);

  /** Records that an endpoint is reachable. Discards the records of requests lost there, because
      the cause was not a crash. */
  void OnEndpointUp(const std::string& aEndpoint) { mLost.erase(aEndpoint); }

  /** Records that an endpoint crashed while it was running the request.
      @returns true if the crash was not known before; false if it was, or if the table is full */
  bool OnCrash(const Crash& aCrash, TimePoint aNow);

  /** Clears the request after a successful answer. */
  void OnSuccess(std::uint64_t aFingerprint);

  /** Returns whether the request must be refused.
      @param aIsExplained  tells of an endpoint whether its crash has another cause; such crashes do
                           not count */
  bool IsRefused(std::uint64_t aFingerprint,
                 TimePoint aNow,
                 const std::function<bool(const std::string&)>& aIsExplained = {}) const;

  /** Returns the crashes of the last 5 s, to be sent to the other instances. */
  std::vector<Crash> Recent(TimePoint aNow) const;

  /** Removes expired entries. */
  void Prune(TimePoint aNow);

private:
  struct Suspect
  {
    std::set<std::string> mEndpoints;
    TimePoint mLast{};
  };

  /** Requests lost at an endpoint that is not yet known to have crashed. */
  struct LostRequests
  {
    std::set<std::uint64_t> mFingerprints;
    TimePoint mLast{};
  };

  std::unordered_map<std::uint64_t, Suspect> mSuspects;
  std::map<std::string, LostRequests> mLost;
};

} // namespace skylarkchute
