#pragma once

#include "../PeerTypes.h"

#include <map>
#include <optional>

namespace skylarkchute {

/** Identifies the evidence that is counted in one row. */
struct EvidenceKey
{
  std::uint64_t mWindow = 0; /**< Index of the time window since the epoch. */
  VersionId mVersion;
  ClassName mClass;
  TeamName mTeam; /**< Empty when the counters of all teams are added up. */
  auto operator<=>(const EvidenceKey&) const = default;
};

/** Counters of one source, which only grow within a window. */
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
  /** Sets each counter to the larger of the two values. As counters only grow, this is the later
      state of the same source. */
  void MergeMax(const EvidenceCounts& aOther);
  /** Returns the difference counter by counter, zero where @p aOther is larger. */
  EvidenceCounts Minus(const EvidenceCounts& aOther) const;
  bool IsZero() const;
  friend bool operator==(const EvidenceCounts&, const EvidenceCounts&) = default;
};

using EvidenceTable = std::map<EvidenceKey, EvidenceCounts>;

/** Peer message `evidence.up`: the counters of one instance, sent to the collector of its zone, or
    the sums of one zone, sent to the collector of the topic. */
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
  bool mForwardToZone = false; /**< The receiver forwards them to the instances of its zone. */
  EvidenceTable mRows;
};

/** Encodes a message as JSON object text. */
std::string EncodeEvidenceUp(const EvidenceUp& aMessage);
std::string EncodeEvidenceDown(const EvidenceDown& aMessage);

/** Decodes a message. Returns nothing when @p aText is invalid. */
std::optional<EvidenceUp> DecodeEvidenceUp(const std::string& aText);
std::optional<EvidenceDown> DecodeEvidenceDown(const std::string& aText);

} // namespace skylarkchute
