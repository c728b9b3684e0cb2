#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace skylarkchute {

/** A fingerprint that was running at an endpoint when the endpoint crashed. */
struct SuspectRow
{
  std::vector<EndpointId> mCrashed; /**< Distinct endpoints that crashed, limited to two. */
  std::uint32_t mReported = 0;      /**< Highest number of crashes that a peer reported. */
  TimePoint mLastCrash{};
  TimePoint mQuarantinedUntil{}; /**< The epoch if not quarantined. */

  /** Returns the number of known crashes. */
  std::uint32_t Count() const
  {
    return std::max(mReported, static_cast<std::uint32_t>(mCrashed.size()));
  }

  /** Returns whether an endpoint is in mCrashed. */
  bool HasCrashed(const EndpointId& aId) const
  {
    return std::find(mCrashed.begin(), mCrashed.end(), aId) != mCrashed.end();
  }
};

/** Running attempts of one fingerprint on this instance. */
struct LiveFingerprint
{
  EndpointId mEndpoint; /**< Of the latest attempt. */
  std::uint32_t mCount = 0;
};

/** Fingerprints that are suspect, have recently completed or are running. The numbers of
    suspect and of completed ones are limited. */
class SuspectTable
{
public:
  /** Returns the row of a suspect; null if the fingerprint is not suspect. */
  SuspectRow* Find(const Fingerprint& aFingerprint);

  /** Returns the row of a suspect; creates it if it does not exist, for which the oldest row may be
      evicted. */
  SuspectRow& Get(const Fingerprint& aFingerprint, TimePoint aNow);

  void Erase(const Fingerprint& aFingerprint) { mSuspects.erase(aFingerprint); }

  /** Records that a request with the fingerprint completed. */
  void MarkCompleted(const Fingerprint& aFingerprint);

  /** Returns whether a request with the fingerprint completed recently. */
  bool HasCompleted(const Fingerprint& aFingerprint) const;

  using Suspects = std::unordered_map<Fingerprint, SuspectRow>;

  /** Returns all suspects, in no particular order. */
  Suspects& All() { return mSuspects; }
  const Suspects& All() const { return mSuspects; }

  std::unordered_map<Fingerprint, LiveFingerprint> mLiveFingerprints;

private:
  static constexpr std::size_t kMaxSuspects = 4096;
  static constexpr std::size_t kMaxCompleted = 4096;

  /** Evicts the suspect with the oldest crash; quarantined ones only if all are. */
  void EvictOldest();

  Suspects mSuspects;
  std::unordered_set<std::uint64_t> mCompleted;
  std::deque<std::uint64_t> mCompletedOrder;
};

} // namespace skylarkchute
