#pragma once

#include "NodeRequest.h"

#include <map>
#include <optional>

namespace skylarkchute {

/** What became of the right to run a non-idempotent request. */
enum class RunPermit
{
  NotNeeded,  /**< The request is idempotent. */
  Needed,     /**< Neither claimed nor ticketed yet. */
  Requested,  /**< The claim is on its way to the store. */
  Granted,    /**< This request may be dispatched once. */
  Dispatched, /**< It was dispatched. */
};

/** One request under way on this node. */
struct RequestRecord
{
  NodeRequest mRequest;
  TeamName mTeam;
  std::uint32_t mPriority = 0;
  RunPermit mPermit = RunPermit::NotNeeded;
  bool mHasTicket = false;                  /**< The key is a ticket. */
  IncarnationId mTicketIssuer;              /**< Of the ticket. */
  std::optional<SessionId> mSessionToPin;   /**< The caller's own name, until it is pinned. */
  std::optional<DispatchStep> mPendingStep; /**< Waits for a pin or a claim. */
  std::map<AttemptId, VersionId> mVersions; /**< Of each dispatched attempt. */
  std::map<AttemptId, AttemptOutcome> mOutcomes;
  AnswerContent mLastContent;
  std::string mLastModel;   /**< `MODEL/NAME` or service of the last dispatch step. */
  bool mDispatched = false; /**< At least one attempt was dispatched. */
  std::optional<AttemptId> mFinishingAttempt; /**< Its answer ends once the usage record is safe. */
  bool mCallerLeft = false;
};

/** A request that waits for the bundle's generation to be confirmed. */
struct UnconfirmedRequest
{
  NodeRequest mRequest;
  TimePoint mGiveUp;
};

} // namespace skylarkchute
