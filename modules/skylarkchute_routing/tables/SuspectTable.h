#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace skylarkchute {

/** A fingerprint that was at an endpoint when it crashed. */
struct SuspectRow
{
  std::vector<EndpointId> mCrashed; /**< Endpoints, the last few. */
  std::uint32_t mReported = 0;      /**< Most crashes that a peer told of. */
  TimePoint mLastCrash{};
  TimePoint mQuarantinedUntil{}; /**< The epoch while it may still be tried. */

  /** Returns the number of crashes known. */
  std::uint32_t Count() const
  {
    return std::max(mReported, static_cast<std::uint32_t>(mCrashed.size()));
  }

  /** Returns whether an endpoint is among those that crashed. */
  bool HasCrashed(const EndpointId& aId) const
  {
    return std::find(mCrashed.begin(), mCrashed.end(), aId) != mCrashed.end();
  }
};

/** Live attempts of one fingerprint on this instance. */
struct LiveFingerprint
{
  EndpointId mEndpoint; /**< Of the latest. */
  std::uint32_t mCount = 0;
};

/** What is known of fingerprints: suspects, those that completed, those that run. Bounded. */
class SuspectTable
{
public:
  /** Returns the row of a suspect, or null. */
  SuspectRow* Find(const Fingerprint& aFingerprint);

  /** Returns the row of a suspect, made when it is new; may drop the oldest row. */
  SuspectRow& Get(const Fingerprint& aFingerprint, TimePoint aNow);

  /** Removes a suspect. */
  void Erase(const Fingerprint& aFingerprint) { mSuspects.erase(aFingerprint); }

  /** Notes that a request of the fingerprint completed. */
  void MarkProven(const Fingerprint& aFingerprint);

  /** Returns whether a request of the fingerprint completed lately. */
  bool IsProven(const Fingerprint& aFingerprint) const;

  using Suspects = std::unordered_map<Fingerprint, SuspectRow>;

  /** Returns every suspect, in no order. */
  Suspects& All() { return mSuspects; }
  const Suspects& All() const { return mSuspects; }

  std::unordered_map<Fingerprint, LiveFingerprint> mLive;

private:
  static constexpr std::size_t kMostSuspects = 4096;
  static constexpr std::size_t kMostProven = 4096;

  void DropOldest();

  Suspects mSuspects;
  std::unordered_set<std::uint64_t> mProven;
  std::deque<std::uint64_t> mProvenOrder;
};

} // namespace skylarkchute
