#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** An endpoint's entry in the platform's endpoint list. */
struct FleetEndpoint
{
  EndpointId mId;
  ServiceName mService;
  /** `IP:PORT`; may be reassigned to another endpoint some time after this one has stopped. */
  std::string mAddress;
  ZoneName mZone;
  std::string mVersion; /**< Software version; rollouts refer to it. */
  std::uint32_t mSlots = 0;
  bool mDraining = false;
  /** How long it stays cold from when the entry was written; nothing if the entry does not say. */
  std::optional<std::chrono::milliseconds> mRemainingWarmup;
  std::uint64_t mIncarnationStart =
    0;                         /**< Start of this incarnation; differs when an id is reused. */
  std::uint64_t mEra = 0;      /**< Era of the store from which the entry was read. */
  std::uint64_t mRevision = 0; /**< Of the entry; given out again in a later era. */

  /** Returns the id and incarnation. */
  std::string Incarnation() const { return mId.Value() + '~' + std::to_string(mIncarnationStart); }
};

} // namespace skylarkchute
