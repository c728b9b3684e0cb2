#pragma once

#include "NodeRequest.h"

#include <map>
#include <optional>

namespace skylarkchute {

/** State of the permit to run a request. Only a non-idempotent request needs one. */
enum class RunPermit
{
  NotNeeded,  /**< The request is idempotent. */
  Needed,     /**< Neither a claim nor a ticket was submitted yet. */
  Requested,  /**< The claim or ticket was submitted; the answer is pending. */
  Granted,    /**< The request may be dispatched once. */
  Dispatched, /**< The request was dispatched. */
};

/** One request in flight on this node. */
struct RequestRecord
{
  NodeRequest mRequest;
  TeamName mTeam;
  std::uint32_t mPriority = 0;
  RunPermit mPermit = RunPermit::NotNeeded;
  bool mHasTicket = false;                  /**< Whether the request key is a ticket. */
  IncarnationId mTicketIssuer;              /**< Set if mHasTicket. */
  std::optional<SessionId> mSessionToPin;   /**< The caller's session name, until it is pinned. */
  std::optional<DispatchStep> mPendingStep; /**< Waits for a pin or a permit. */
  std::map<AttemptId, VersionId> mVersions; /**< Version of each dispatched attempt. */
  std::map<AttemptId, AttemptOutcome> mOutcomes;
  AnswerContent mLastContent;
  std::string mLastModel;   /**< `MODEL/NAME` or service of the last dispatch step. */
  bool mDispatched = false; /**< Whether an attempt was dispatched. */
  /** Its answer ends once the usage record is stored or backed up. */
  std::optional<AttemptId> mFinishingAttempt;
  bool mCallerLeft = false;
};

/** A request that waits for the bundle's generation to be confirmed. It is refused at
    mConfirmationDeadline. */
struct UnconfirmedRequest
{
  NodeRequest mRequest;
  TimePoint mConfirmationDeadline;
};

} // namespace skylarkchute
