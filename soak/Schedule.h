#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute::soak {

enum class FaultKind
{
  RelayPaused,    /**< SIGSTOP, then SIGCONT. */
  RelayKilled,    /**< SIGKILL, then a start. */
  RelayStopped,   /**< SIGTERM, then a start. */
  RelayReloaded,  /**< New settings, their figures in any form that is allowed, then SIGHUP. */
  RelaysKilled,   /**< SIGKILL to all at once, then a start. */
  EndpointSilent, /**< Sends nothing for a while, then goes on. */
  EndpointSlow,
  EndpointFailing,  /**< Answers 500. */
  EndpointBreaking, /**< Closes each stream after two events. */
  EndpointKilled,
  EndpointLeaving,       /**< SIGTERM: states `draining`, then leaves. */
  EndpointUnregistering, /**< Removes its entry without `draining`, then leaves. */
  EndpointDeparting,     /**< States in its answers that it leaves. */
  EndpointLimited,       /**< Names a limit. */
  EndpointPausing,       /**< Refuses and names a pause. */
  EndpointIll,           /**< Answers that it is not healthy, but serves as before. */
  PartCrashing,          /**< A prompt part ends each endpoint that runs it. */
  StoreSilent,
  StoreBusy,
  StoreSlow,
  StoreForgetting, /**< Loses its history. */
  StoreCutting,    /**< Cuts off the watches that wait, again and again. */
  StoreKindBusy,   /**< Refuses the calls on one kind of objects. */
  StoreLosing,     /**< Executes writes of the relays without an answer, some of them late. */
  StoreRejecting,  /**< Rejects the calls of one relay, in one of four ways. */
  StoreRationing,  /**< Takes few calls a second from all relays together. */
  StoreRestored,   /**< Copied at the start of the fault, restored at its end. */
  RolledOut,       /**< A new version; a bad one if the target is odd. */
  Configured,      /**< The operator writes a new configuration. */
  TeamsRemoved,    /**< The operator takes the last team away, and gives it back at the end. */
};

struct Fault
{
  std::chrono::milliseconds mAt{ 0 };
  std::chrono::milliseconds mDuration{ 0 }; /**< Zero for a single event. */
  FaultKind mKind = FaultKind::RelayPaused;
  std::uint32_t mTarget = 0; /**< Relay or endpoint, modulo their number; see Fleet. */
};

std::string FaultName(FaultKind aKind);

/** Returns faults in order of their start. Storms of overlapping faults alternate with spans of
    planned work only; the last seconds have no fault.
    @param aLength  length of the whole soak */
std::vector<Fault> MakeSchedule(std::uint64_t aSeed,
                                std::chrono::seconds aLength,
                                std::uint32_t aRelays);

void PrintSchedule(std::ostream& aOut, const std::vector<Fault>& aSchedule);

} // namespace skylarkchute::soak
