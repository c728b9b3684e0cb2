#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** Request statistics of one version in one time window at one instance, sent to its peers. */
struct VersionEvidence
{
  VersionId mVersion;
  ClassName mClass;
  TeamName mTeam;
  ZoneName mZone;
  std::uint64_t mRequests = 0;
  std::uint64_t mErrors = 0;
  std::uint64_t mTimeouts = 0;
  std::uint64_t mRated = 0;
  std::uint64_t mRatedGood = 0;
  std::chrono::microseconds mLatencySum{ 0 };
};

} // namespace skylarkchute
