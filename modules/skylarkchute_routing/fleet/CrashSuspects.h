#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** Requests, by fingerprint of path, caller and body, that were at an endpoint when it crashed.

    Answers a request that crashes each endpoint that runs it and comes again at any instance: once
    two different incarnations of endpoints crashed under it, it is refused everywhere for a while,
    then tried again. A lost connection alone is no crash: the endpoint has to be down just after,
    and the request without its first byte. A success of the same request clears it. */
class CrashSuspects
{
public:
  /** One crash, as instances tell each other. */
  struct Crash
  {
    std::uint64_t mFingerprint = 0;
    std::string mEndpoint; /**< Id and incarnation of the endpoint. */
  };

  /** Notes that a request lost its connection before the first byte of an answer. */
  void OnLost(const Crash& aCrash, TimePoint aNow);

  /** Notes that an endpoint could not be reached just after a request was lost there.
      @returns the crashes that this was unknown of */
  std::vector<Crash> OnEndpointDown(const std::string& aEndpoint, TimePoint aNow);

  /** Notes that an endpoint can be reached: what was lost there was lost for another reason. */
  void OnEndpointUp(const std::string& aEndpoint) { mLost.erase(aEndpoint); }

  /** Notes that an endpoint crashed while it held the request.
      @returns whether this was not known */
  bool OnCrash(const Crash& aCrash, TimePoint aNow);

  /** Notes that the request was answered. */
  void OnSuccess(std::uint64_t aFingerprint);

  /** Returns whether the request is to be refused. */
  bool IsRefused(std::uint64_t aFingerprint, TimePoint aNow) const;

  /** Returns the crashes of the last seconds, for the other instances. */
  std::vector<Crash> Recent(TimePoint aNow) const;

  /** Forgets old rows. */
  void Prune(TimePoint aNow);

private:
  struct Row
  {
    std::set<std::string> mEndpoints;
    TimePoint mLast{};
  };

  /** Requests lost at an endpoint of which it is not known yet whether it crashed. */
  struct LostRequests
  {
    std::set<std::uint64_t> mFingerprints;
    TimePoint mLast{};
  };

  std::unordered_map<std::uint64_t, Row> mRows;
  std::map<std::string, LostRequests> mLost;
};

} // namespace skylarkchute
