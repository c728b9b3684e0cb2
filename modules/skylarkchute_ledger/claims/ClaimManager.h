#pragma once

#include "ClaimCodec.h"

#include <deque>
#include <map>
#include <set>

namespace skylarkchute {

/** Ensures that a non-idempotent request is dispatched at most once.

    A claim is a write-once register that names the claimant: the one request that may run under
    the idempotency key. It is never reassigned. Only the claimant can release it, by stating that
    it was not and will not be dispatched; then the key may be claimed again under the next
    generation number. A second register holds the outcome.

    The caller submits ClaimOutput::mRegisters to RegisterService and passes the outcomes to
    OnRegister, which ignores those of other components. It sends ClaimOutput::mStatusQueries to the
    claimant's instance as peer calls. */
class ClaimManager
{
public:
  struct Options
  {
    IncarnationId mSelf;
    std::size_t mMaxStoredBodyBytes = 4096; /**< Longer bodies are not stored with the outcome. */
    std::size_t mMaxOwnClaims = 8192;       /**< Claims of this incarnation kept in memory. */
    std::uint32_t mMaxGenerations = 8;      /**< Claims per key, one more after each release. */
    /** Delay before the status query to a running claimant or a failed outcome write is
        repeated. It doubles each time, up to mMaxBackoff. */
    std::chrono::milliseconds mInitialBackoff{ 50 };
    std::chrono::milliseconds mMaxBackoff{ 1000 };
  };

  explicit ClaimManager(Options aOptions);

  /** Asks for permission to run a request. The answer is in ClaimOutput::mAnswers of this or a
      later call. */
  ClaimOutput Claim(const ClaimRequest& aRequest, TimePoint aNow, WallTime aWallNow);

  /** Must be called immediately before a granted request is dispatched.
      @returns whether the request may be dispatched; true at most once per request */
  bool MarkDispatched(const RequestId& aRequest);

  /** Records the outcome of a granted request. With NotRun, or without a prior MarkDispatched, it
      releases the claim instead. */
  ClaimOutput Finish(const RequestId& aRequest, const ClaimOutcome& aOutcome, TimePoint aNow);

  /** Withdraws a request whose caller has disconnected, unless it has been dispatched. */
  ClaimOutput Abandon(const RequestId& aRequest, TimePoint aNow);

  /** Handles the outcome of a register request. */
  ClaimOutput OnRegister(const RegisterOutcome& aOutcome, TimePoint aNow, WallTime aWallNow);

  /** Handles the reply to a status query.
      @param aId      ClaimStatusQuery::mId
      @param aReport  nothing when the claimant's instance is gone or did not answer */
  ClaimOutput OnStatusReply(std::uint64_t aId,
                            const std::optional<ClaimStatusReply>& aReport,
                            TimePoint aNow,
                            WallTime aWallNow);

  /** Returns the state of a claim of this incarnation, for a peer or for this object. */
  ClaimStatusReply ClaimStatusOf(const RequestId& aClaimant) const;

  /** Repeats the status queries to running claimants, answers requests that have waited for one
      until their deadline, and repeats failed outcome writes. */
  ClaimOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Returns whether the outcome of a claim of this incarnation is not durable yet. If this
      incarnation ended now, resends could not be answered with that outcome. */
  bool HasUnsavedOutcome() const { return !mUnsavedOutcomes.empty(); }

  /** Returns the number of claims of this incarnation in memory. */
  std::size_t OwnClaimCount() const { return mOwnClaims.size(); }

private:
  enum class Stage
  {
    Claiming,
    ReadingOutcome,
    QueryingClaimant,
    WaitingToQuery,
    RereadingOutcome, /**< The claimant's state is unknown; its outcome may be durable now. */
    WritingRelease,   /**< On behalf of the claimant, which reported Released. */
  };

  /** A Claim call that has not been answered yet. */
  struct PendingClaim
  {
    ClaimRequest mRequest;
    std::uint32_t mGeneration = 1;
    Stage mStage = Stage::Claiming;
    ClaimRecord mExistingClaim;              /**< The claim that holds the key. */
    std::optional<WallTime> mEarliestExpiry; /**< Over all generations found. */
    std::uint64_t mAwaitedId =
      0; /**< Operation id of a register request, or id of a status query. */
    TimePoint mNextQueryAt;
    std::chrono::milliseconds mBackoff{ 0 };
    bool mAbandoned = false;
  };

  enum class OwnClaimState
  {
    Claimed,
    Dispatched,
    Finished,
    Released,
  };

  /** A claim that this incarnation has made. */
  struct OwnClaim
  {
    TeamName mTeam;
    RequestKey mKey;
    Fingerprint mFingerprint;
    WallTime mExpires;
    std::uint32_t mGeneration = 1;
    OwnClaimState mState = OwnClaimState::Claimed;
    bool mClaimDurable = false;
    bool mOutcomeDurable = false;
    ClaimOutcome mOutcome;
    std::uint64_t mWriteOperationId =
      0;                /**< Operation id of the outcome write under way, or zero. */
    TimePoint mRetryAt; /**< Time of the next outcome write. */
    std::chrono::milliseconds mBackoff{ 0 };
  };

  struct OwnClaimKey
  {
    TeamName mTeam;
    RequestKey mKey;
    auto operator<=>(const OwnClaimKey&) const = default;
  };

  using PendingClaimMap = std::map<RequestId, PendingClaim>;
  using OwnMap = std::map<RequestId, OwnClaim>;

  void WriteClaim(PendingClaim& aPending, ClaimOutput& aOutput);
  void ReadOutcome(PendingClaim& aPending, Stage aStage, ClaimOutput& aOutput);
  void QueryClaimant(PendingClaimMap::iterator aPending, TimePoint aNow, ClaimOutput& aOutput);
  void ClaimNextGeneration(PendingClaimMap::iterator aPending,
                           WallTime aWallNow,
                           ClaimOutput& aOutput);
  std::uint64_t NewOperationId(const RequestId& aRequest);
  void CompleteClaim(PendingClaimMap::iterator aPending,
                     ClaimResult aResult,
                     std::optional<ClaimOutcome> aOutcome,
                     ClaimOutput& aOutput);

  void OnClaimWritten(PendingClaimMap::iterator aPending,
                      const RegisterOutcome& aOutcome,
                      TimePoint aNow,
                      ClaimOutput& aOutput);
  void OnOutcomeRead(PendingClaimMap::iterator aPending,
                     const RegisterOutcome& aOutcome,
                     TimePoint aNow,
                     WallTime aWallNow,
                     ClaimOutput& aOutput);
  void OnReleaseWritten(PendingClaimMap::iterator aPending,
                        const RegisterOutcome& aOutcome,
                        WallTime aWallNow,
                        ClaimOutput& aOutput);
  void HandleStatusReply(PendingClaimMap::iterator aPending,
                         const std::optional<ClaimStatusReply>& aReport,
                         TimePoint aNow,
                         ClaimOutput& aOutput);
  bool ResolveFromOwnClaims(const ClaimRequest& aRequest,
                            TimePoint aNow,
                            WallTime aWallNow,
                            ClaimOutput& aOutput);
  void OnOwnOutcomeWritten(OwnMap::iterator aClaim,
                           const RegisterOutcome& aOutcome,
                           TimePoint aNow);

  OwnMap::iterator AddOwnClaim(const PendingClaim& aPending, OwnClaimState aState, bool aDurable);
  void Release(OwnMap::iterator aClaim, ClaimOutput& aOutput);
  void WriteOutcome(OwnMap::iterator aClaim, ClaimOutput& aOutput);
  void EvictOwnClaim();
  Options mOptions;
  std::uint64_t mNextOperationId = kFirstClaimOperationId;
  PendingClaimMap mPendingClaims;
  OwnMap mOwnClaims;
  std::map<OwnClaimKey, RequestId> mOwnClaimsByKey;
  std::deque<RequestId> mOwnClaimOrder; /**< Oldest first. */
  std::set<RequestId> mUnsavedOutcomes; /**< Own claims whose outcome is not durable. */
  std::map<std::uint64_t, RequestId>
    mRequestOfOperation; /**< By operation id or status query id. */
};

} // namespace skylarkchute
