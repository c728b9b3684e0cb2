#pragma once

#include "ClaimCodec.h"

#include <deque>
#include <map>
#include <set>

namespace skylarkchute {

/** Lets a non-idempotent request run at most once.

    A claim is a write-once register that names its claimant, and is never taken from it. Only the
    claimant may say that it did not and will not dispatch; then the next generation of the key may
    be claimed. The outcome is a second register.

    Register requests go to RegisterService, whose outcomes come back by OnRegister; tickets of
    others are ignored there. Questions go to the claimant's instance as peer calls. */
class ClaimDesk
{
public:
  struct Options
  {
    IncarnationId mSelf;
    std::size_t mLargestBodyBytes = 4096;
    std::size_t mMostRemembered = 8192; /**< Claims of this incarnation kept in memory. */
    std::uint32_t mMostGenerations = 8;
    std::chrono::milliseconds mFirstRetry{ 50 };
    std::chrono::milliseconds mLongestRetry{ 1000 };
  };

  explicit ClaimDesk(Options aOptions);

  /** Asks to run a request; the answer follows. */
  ClaimOutput Claim(const ClaimRequest& aRequest, TimePoint aNow, WallTime aWallNow);

  /** Must be called right before the one dispatch of a granted request.
      @returns whether it may be dispatched: true at most once a request */
  bool MarkDispatched(const RequestId& aRequest);

  /** Reports the end of a granted request. With NotRun, or before MarkDispatched, this is a
      release. */
  ClaimOutput Finish(const RequestId& aRequest, const ClaimOutcome& aOutcome, TimePoint aNow);

  /** Gives up a request whose caller left, unless it has been dispatched. */
  ClaimOutput Abandon(const RequestId& aRequest, TimePoint aNow);

  /** Takes in the outcome of a register request. */
  ClaimOutput OnRegister(const RegisterOutcome& aOutcome, TimePoint aNow, WallTime aWallNow);

  /** Takes in the reply to a question.
      @param aReport  nothing when the claimant is gone or did not answer */
  ClaimOutput OnReport(std::uint64_t aId,
                       const std::optional<ClaimReport>& aReport,
                       TimePoint aNow,
                       WallTime aWallNow);

  /** Answers a question of a peer or of this desk. */
  ClaimReport Report(const RequestId& aClaimant) const;

  /** Drives questions to running claimants, deadlines and retries. */
  ClaimOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Returns whether the outcome of a claim of this incarnation is not durable yet; a resend could
      not be answered from it after the end of this incarnation. */
  bool HasUnsavedOutcome() const { return !mUnsaved.empty(); }

  /** Returns the number of claims of this incarnation in memory. */
  std::size_t RememberedCount() const { return mOwn.size(); }

private:
  enum class Stage
  {
    Claiming,
    ReadingOutcome,
    Asking,
    WaitingForClaimant,
    ReadingLastly,  /**< The claimant cannot be asked; its outcome may have become durable. */
    WritingRelease, /**< For the claimant, who said that it gave up. */
  };

  /** A claim on its way to an answer. */
  struct Flow
  {
    ClaimRequest mRequest;
    std::uint32_t mGeneration = 1;
    Stage mStage = Stage::Claiming;
    ClaimRecord mFound;                      /**< The claim that stands in the way. */
    std::optional<WallTime> mEarliestExpiry; /**< Of all generations found. */
    std::uint64_t mWaitingFor = 0;           /**< Ticket or question id. */
    TimePoint mAskAt;
    std::chrono::milliseconds mBackoff{ 0 };
    bool mAbandoned = false;
  };

  enum class OwnState
  {
    Claimed,
    Dispatched,
    Finished,
    Released,
  };

  /** A claim that this incarnation made. */
  struct OwnClaim
  {
    TeamName mTeam;
    RequestKey mKey;
    Fingerprint mFingerprint;
    WallTime mExpires;
    std::uint32_t mGeneration = 1;
    OwnState mState = OwnState::Claimed;
    bool mClaimDurable = false;
    bool mOutcomeDurable = false;
    ClaimOutcome mOutcome;
    std::uint64_t mWriting = 0; /**< Ticket of the outcome's write, or zero. */
    TimePoint mRetryAt;         /**< When to write it again. */
    std::chrono::milliseconds mBackoff{ 0 };
  };

  struct OwnKey
  {
    TeamName mTeam;
    RequestKey mKey;
    auto operator<=>(const OwnKey&) const = default;
  };

  using FlowMap = std::map<RequestId, Flow>;
  using OwnMap = std::map<RequestId, OwnClaim>;

  void WriteClaim(Flow& aFlow, ClaimOutput& aOutput);
  void ReadOutcome(Flow& aFlow, Stage aStage, ClaimOutput& aOutput);
  void Ask(FlowMap::iterator aFlow, TimePoint aNow, ClaimOutput& aOutput);
  void NextGeneration(FlowMap::iterator aFlow, WallTime aWallNow, ClaimOutput& aOutput);
  std::uint64_t NewTicket(const RequestId& aRequest);
  void End(FlowMap::iterator aFlow,
           ClaimResult aResult,
           std::optional<ClaimOutcome> aOutcome,
           ClaimOutput& aOutput);

  void OnClaimWritten(FlowMap::iterator aFlow,
                      const RegisterOutcome& aOutcome,
                      TimePoint aNow,
                      ClaimOutput& aOutput);
  void OnOutcomeRead(FlowMap::iterator aFlow,
                     const RegisterOutcome& aOutcome,
                     TimePoint aNow,
                     WallTime aWallNow,
                     ClaimOutput& aOutput);
  void OnReleaseWritten(FlowMap::iterator aFlow,
                        const RegisterOutcome& aOutcome,
                        WallTime aWallNow,
                        ClaimOutput& aOutput);
  void TakeReport(FlowMap::iterator aFlow,
                  const std::optional<ClaimReport>& aReport,
                  TimePoint aNow,
                  ClaimOutput& aOutput);
  bool AnswerFromMemory(const ClaimRequest& aRequest,
                        TimePoint aNow,
                        WallTime aWallNow,
                        ClaimOutput& aOutput);
  void OnOwnOutcomeWritten(OwnMap::iterator aClaim,
                           const RegisterOutcome& aOutcome,
                           TimePoint aNow);

  OwnMap::iterator Remember(const Flow& aFlow, OwnState aState, bool aDurable);
  void Release(OwnMap::iterator aClaim, ClaimOutput& aOutput);
  void WriteOutcome(OwnMap::iterator aClaim, ClaimOutput& aOutput);
  void ForgetOldest();
  Options mOptions;
  std::uint64_t mNextTicket = kFirstClaimTicket;
  FlowMap mFlows;
  OwnMap mOwn;
  std::map<OwnKey, RequestId> mOwnByKey;
  std::deque<RequestId> mOwnInOrder;           /**< Oldest first. */
  std::set<RequestId> mUnsaved;                /**< Own claims whose outcome is not durable. */
  std::map<std::uint64_t, RequestId> mTickets; /**< Request of each ticket and question. */
};

} // namespace skylarkchute
