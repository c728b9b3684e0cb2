#pragma once

#include "../PeerTypes.h"

#include <map>
#include <optional>

namespace skylarkchute {

/** Which evidence is counted together. */
struct EvidenceKey
{
  std::uint64_t mWindow = 0; /**< Number of the time window. */
  VersionId mVersion;
  ClassName mClass;
  TeamName mTeam; /**< Empty when teams are counted together. */
  auto operator<=>(const EvidenceKey&) const = default;
};

/** Counters that only grow within a window. */
struct EvidenceCounts
{
  std::uint64_t mRequests = 0;
  std::uint64_t mErrors = 0;
  std::uint64_t mTimeouts = 0;
  std::uint64_t mRated = 0;
  std::uint64_t mRatedGood = 0;
  std::uint64_t mLatencySumMs = 0;

  /** Adds counter by counter. */
  void Add(const EvidenceCounts& aOther);
  /** Takes the larger of each counter: the later state of the same source. */
  void TakeLater(const EvidenceCounts& aOther);
  /** Returns the difference counter by counter, zero where @p aOther is larger. */
  EvidenceCounts Minus(const EvidenceCounts& aOther) const;
  bool IsZero() const;
  friend bool operator==(const EvidenceCounts&, const EvidenceCounts&) = default;
};

using EvidenceTable = std::map<EvidenceKey, EvidenceCounts>;

/** Peer message `evidence.up`: the counters of one instance for its zone's collector, or the sums
    of one zone for the topic's collector. */
struct EvidenceUp
{
  InstanceId mFrom;
  ZoneName mZone;
  bool mIsZoneSum = false;
  EvidenceTable mRows;
};

/** Peer message `evidence.down`: fleet totals. */
struct EvidenceDown
{
  bool mPassOn = false; /**< The receiver passes them to the instances of its zone. */
  EvidenceTable mRows;
};

/** Return JSON object text. */
std::string EncodeEvidenceUp(const EvidenceUp& aMessage);
std::string EncodeEvidenceDown(const EvidenceDown& aMessage);

/** Return the message in the text, or nothing when it cannot be read. */
std::optional<EvidenceUp> DecodeEvidenceUp(const std::string& aText);
std::optional<EvidenceDown> DecodeEvidenceDown(const std::string& aText);

} // namespace skylarkchute
