#pragma once

#include "../requests/AttemptOutcome.h"
#include "../requests/RequestFacts.h"
#include "PoolKey.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** An attempt that runs. */
struct AttemptRow
{
  AttemptId mId;
  EndpointId mEndpoint;
  std::optional<VersionId> mVersion;
  TimePoint mStarted{};
  bool mHedge = false;
  bool mTrial = false; /**< Made while the fingerprint was suspect. */
  bool mFirstTokenSeen = false;
};

enum class RequestPhase
{
  New,     /**< Neither queued nor sent yet. */
  Queued,  /**< Waits in the queue of its pool. */
  Delayed, /**< Waits for the end of a back-off. */
  Running, /**< At least one attempt runs. */
  Held,    /**< A complete answer waits for its rating. */
};

/** One request under way. */
struct RequestRow
{
  RequestFacts mFacts; /**< Without the API key. */
  TeamName mTeam;
  std::uint32_t mPriority = 0;
  bool mNonIdempotent = false;
  bool mHedged = false;                  /**< The class allows hedges. */
  bool mSession = false;                 /**< Pinned to a version; never moved to another. */
  TimePoint mSuspectSince{};             /**< When it was found that the fingerprint is suspect. */
  bool mByCascade = false;               /**< The model is the choice of a cascade. */
  bool mHold = false;                    /**< The next answer is held for its rating. */
  std::optional<AttemptId> mHeldAttempt; /**< Its answer can still be served. */
  TimePoint mHeldUntil{};
  RequestPhase mPhase = RequestPhase::New;
  PoolKey mPool;
  std::optional<VersionId> mVersion; /**< Empty for plain services. */
  TimePoint mAdmitted{};
  TimePoint mQueuedSince{};
  TimePoint mNotBefore{};
  std::uint32_t mAttempts = 0; /**< Made so far; numbers the next one. */
  std::uint32_t mRetries = 0;
  bool mHedgeUsed = false;
  bool mRetryPending = false;              /**< The next dispatch is a retry. */
  bool mEscalationPending = false;         /**< The next dispatch replaces an answer. */
  Verdict mWorstVerdict = Verdict::NotRun; /**< Over the attempts that ended. */
  std::vector<AttemptRow> mLive;
  std::vector<EndpointId> mTried; /**< The last few; a retry avoids them. */
  double mReservedTokens = 0;     /**< Taken from the team's token bucket. */

  /** Returns the live attempt of that id, or null. */
  AttemptRow* FindAttempt(const AttemptId& aId);
};

/** Requests under way, by id. */
class RequestTable
{
public:
  using Rows = std::unordered_map<RequestId, RequestRow>;

  /** Adds a row; the id must be new. */
  RequestRow& Insert(RequestRow aRow);

  /** Returns the row of a request, or null. */
  RequestRow* Find(const RequestId& aId);
  const RequestRow* Find(const RequestId& aId) const;

  /** Removes a row. */
  void Erase(const RequestId& aId) { mRows.erase(aId); }

  /** Returns the ids of every request, in order, so that a run repeats exactly. */
  std::vector<RequestId> Ids() const;

  /** Returns every row, in no order. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

private:
  Rows mRows;
};

} // namespace skylarkchute
