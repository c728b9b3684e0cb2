#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** Requests, by fingerprint of path, caller and body, that were at an endpoint when it crashed.

    Answers a request that crashes each endpoint that runs it and comes again at any instance: once
    two different incarnations of endpoints were lost under it, it is refused everywhere. A request
    that was only beside it has another fingerprint, and a later success clears it. */
class CrashSuspects
{
public:
  /** One crash, as instances tell each other. */
  struct Crash
  {
    std::uint64_t mFingerprint = 0;
    std::string mEndpoint; /**< Id and incarnation of the endpoint. */
  };

  /** Notes that an endpoint crashed while it held the request.
      @returns whether this was not known */
  bool OnCrash(const Crash& aCrash, TimePoint aNow);

  /** Notes that the request was answered. */
  void OnSuccess(std::uint64_t aFingerprint) { mRows.erase(aFingerprint); }

  /** Returns whether the request is to be refused. */
  bool IsRefused(std::uint64_t aFingerprint) const;

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

  std::unordered_map<std::uint64_t, Row> mRows;
};

} // namespace skylarkchute
