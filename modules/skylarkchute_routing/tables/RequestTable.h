#pragma once

#include "../requests/AttemptOutcome.h"
#include "../requests/RequestFacts.h"
#include "PoolKey.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** A running attempt. */
struct AttemptRow
{
  AttemptId mId;
  EndpointId mEndpoint;
  std::optional<VersionId> mVersion;
  TimePoint mStarted{};
  bool mHedge = false;
  bool mWhileSuspect = false; /**< Started while the fingerprint was suspect. */
  bool mFirstTokenSeen = false;
};

enum class RequestPhase
{
  New,     /**< Neither queued nor dispatched yet. */
  Queued,  /**< In the queue of its pool. */
  Delayed, /**< Waiting for the end of a back-off. */
  Running, /**< At least one attempt runs. */
  Held,    /**< A complete answer is held until it is rated. */
};

/** A request in progress. */
struct RequestRow
{
  RequestFacts mFacts; /**< Without the API key. */
  TeamName mTeam;
  std::uint32_t mPriority = 0;
  bool mNonIdempotent = false;
  bool mHedged = false;                  /**< Whether the class allows hedges. */
  bool mSession = false;                 /**< Pinned to a version; never moved to another. */
  TimePoint mSuspectSince{};             /**< When the fingerprint was found to be suspect. */
  bool mChosenByCascade = false;         /**< Whether a cascade chose the model. */
  bool mHold = false;                    /**< Whether to hold the next answer until it is rated. */
  std::optional<AttemptId> mHeldAttempt; /**< Attempt whose held answer can still be served. */
  TimePoint mHeldUntil{};
  RequestPhase mPhase = RequestPhase::New;
  PoolKey mPool;
  std::optional<VersionId> mVersion; /**< Empty for plain services. */
  TimePoint mAdmitted{};
  TimePoint mQueuedSince{};
  TimePoint mNotBefore{};
  std::uint32_t mAttempts = 0; /**< Number started so far; part of the next attempt's id. */
  std::uint32_t mRetries = 0;
  bool mHedgeUsed = false;
  bool mRetryPending = false;              /**< The next dispatch is a retry. */
  bool mEscalationPending = false;         /**< The next dispatch replaces an answer. */
  Verdict mWorstVerdict = Verdict::NotRun; /**< Of the attempts that ended. */
  std::vector<AttemptRow> mLiveAttempts;
  std::vector<EndpointId> mTried; /**< Endpoints of the last few attempts; a retry avoids them. */
  double mReservedTokens = 0;     /**< Model tokens taken from the team's token bucket. */

  /** Returns the running attempt with that id; null if there is none. */
  AttemptRow* FindAttempt(const AttemptId& aId);
};

/** Requests in progress, by id. */
class RequestTable
{
public:
  using Rows = std::unordered_map<RequestId, RequestRow>;

  /** Adds a row; the id must be new. */
  RequestRow& Insert(RequestRow aRow);

  /** Returns the row of a request; null if unknown. */
  RequestRow* Find(const RequestId& aId);
  const RequestRow* Find(const RequestId& aId) const;

  void Erase(const RequestId& aId) { mRows.erase(aId); }

  /** Returns the ids of all requests in ascending order, so that runs are reproducible. */
  std::vector<RequestId> Ids() const;

  /** Returns all rows, in no particular order. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

private:
  Rows mRows;
};

} // namespace skylarkchute
