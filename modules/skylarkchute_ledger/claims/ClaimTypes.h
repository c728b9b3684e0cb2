#pragma once

#include "../registers/RegisterRequest.h"

namespace skylarkchute {

/** A non-idempotent request that wants to run. */
struct ClaimRequest
{
  RequestId mRequest; /**< Names the request in every later call. */
  TeamName mTeam;
  RequestKey mKey;
  Fingerprint mFingerprint;
  WallTime mExpires;   /**< The claim is forgotten from then on; the retention of the bundle. */
  TimePoint mDeadline; /**< Until when a resend waits for the running attempt. */
};

/** How a claimed request ended, as a resend gets it. */
struct ClaimOutcome
{
  int mHttpStatus = 0;
  Verdict mVerdict = Verdict::MayHaveRun;
  std::string mContentType;
  std::string mBody;
  bool mBodyDropped = false; /**< The body was too long to be kept. */
};

enum class ClaimResult
{
  Granted,    /**< The claim is durable: dispatch it once, after MarkDispatched. */
  Finished,   /**< It ran before; the outcome is given. */
  MayHaveRun, /**< Its claimant cannot be asked or does not know. */
  Running,    /**< Its claimant still runs it at the deadline. */
  KeyReused,  /**< The key belongs to another request. This one did not run. */
  KeySpent,   /**< The key was released too often or too long ago. Not run; use a new key. */
  StoreDown,  /**< The claim cannot be made durable. This one did not run; send it later. */
};

/** The answer to one Claim. */
struct ClaimAnswer
{
  RequestId mRequest;
  ClaimResult mResult = ClaimResult::MayHaveRun;
  std::optional<ClaimOutcome> mOutcome; /**< After Finished. */
};

/** Peer message `claim.outcome`: asks the claimant how a request stands. */
struct ClaimQuestion
{
  std::uint64_t mId = 0; /**< Local to the desk; the reply carries it. */
  IncarnationId mHolder;
  RequestId mClaimant;
};

enum class ClaimState
{
  Unknown,  /**< The claimant has forgotten it. */
  Running,  /**< Granted and not yet finished. */
  Finished, /**< The outcome is given. */
  Released, /**< It was not and will not be dispatched. */
};

/** Reply to ClaimQuestion. */
struct ClaimReport
{
  ClaimState mState = ClaimState::Unknown;
  std::optional<ClaimOutcome> mOutcome;
};

/** What the desk wants done after an event. */
struct ClaimOutput
{
  std::vector<RegisterRequest> mRegisters;
  std::vector<ClaimQuestion> mQuestions;
  std::vector<ClaimAnswer> mAnswers;
  std::vector<LogEvent> mEvents;
};

} // namespace skylarkchute
