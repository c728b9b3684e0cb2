#pragma once

#include "../registers/RegisterRequest.h"

namespace skylarkchute {

/** A non-idempotent request that asks for permission to run. */
struct ClaimRequest
{
  RequestId mRequest; /**< Identifies the request in later calls. */
  TeamName mTeam;
  RequestKey mKey;
  Fingerprint mFingerprint;
  WallTime mExpires;   /**< End of the retention period of the claim, set by the bundle. */
  TimePoint mDeadline; /**< A resend waits until then for a running attempt to finish. */
};

/** Outcome of a claimed request, as returned to resends of it. */
struct ClaimOutcome
{
  int mHttpStatus = 0;
  Verdict mVerdict = Verdict::MayHaveRun;
  std::string mContentType;
  std::string mBody;
  bool mBodyDropped = false; /**< The body exceeded the size limit and was not stored. */
};

enum class ClaimResult
{
  Granted,    /**< The claim is durable: call MarkDispatched, then dispatch the request once. */
  Finished,   /**< The request ran before; its outcome is in ClaimAnswer::mOutcome. */
  MayHaveRun, /**< The claimant is unreachable or has no record, or a register is unreadable. */
  Running,    /**< The claimant was still running at the deadline. */
  KeyReused,  /**< The key belongs to a request with another fingerprint. This one did not run. */
  KeySpent,   /**< The key was released too often or too long ago. Not run; a new key is needed. */
  StoreDown,  /**< The claim cannot be made durable. Not run; it can be sent again later. */
};

/** Result of one ClaimManager::Claim call. */
struct ClaimAnswer
{
  RequestId mRequest;
  ClaimResult mResult = ClaimResult::MayHaveRun;
  std::optional<ClaimOutcome> mOutcome; /**< Set with Finished. */
};

/** Peer message `claim.outcome`: asks the claimant's instance for the state of a claim. */
struct ClaimStatusQuery
{
  std::uint64_t mId = 0; /**< Not sent; passed to ClaimManager::OnStatusReply with the reply. */
  IncarnationId mHolder; /**< Incarnation that made the claim. */
  RequestId mClaimant;   /**< Request that holds the claim. */
};

enum class ClaimState
{
  Unknown,  /**< The claimant's instance has no record of the claim. */
  Running,  /**< The claim is being written, or granted and not yet finished. */
  Finished, /**< The outcome is in ClaimStatusReply::mOutcome. */
  Released, /**< The request was not and will not be dispatched. */
};

/** Reply to ClaimStatusQuery. */
struct ClaimStatusReply
{
  ClaimState mState = ClaimState::Unknown;
  std::optional<ClaimOutcome> mOutcome;
};

/** Actions that the caller of ClaimManager must carry out. */
struct ClaimOutput
{
  std::vector<RegisterRequest> mRegisters;
  std::vector<ClaimStatusQuery> mStatusQueries;
  std::vector<ClaimAnswer> mAnswers;
  std::vector<LogEvent> mEvents;
};

} // namespace skylarkchute
