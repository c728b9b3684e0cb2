#pragma once

#include "../evidence/VersionEvidence.h"

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Evidence about one version, summed over classes, teams, zones and windows. */
struct EvidenceTotals
{
  std::uint64_t mRequests = 0;
  std::uint64_t mErrors = 0;
  std::uint64_t mTimeouts = 0;
  std::uint64_t mRated = 0;
  std::uint64_t mRatedGood = 0;
  std::chrono::microseconds mLatencySum{ 0 };

  /** Adds the evidence of one window. */
  void Add(const VersionEvidence& aEvidence);

  /** Adds other totals. */
  void Add(const EvidenceTotals& aOther);

  friend bool operator==(const EvidenceTotals&, const EvidenceTotals&) = default;
};

} // namespace skylarkchute
