#pragma once

#include "../claims/ClaimTypes.h"
#include "../tokens/KeyRing.h"

#include <deque>
#include <map>
#include <vector>

namespace skylarkchute {

enum class TicketResult
{
  Run,             /**< First redemption: dispatch the request, once. */
  AlreadyRunning,  /**< The request in mRunning redeemed it and is still running. */
  Finished,        /**< Its request has ended; see mOutcome. */
  MayHaveRun,      /**< Redeemed before, but the outcome is no longer stored. */
  Expired,         /**< Expired without having been redeemed. The request did not run. */
  IssuedElsewhere, /**< Issued by the incarnation in mIssuer; forward the request to it. */
  NotATicket,      /**< Not in ticket format: an idempotency key chosen by the caller. */
  Invalid,         /**< Forged, or issued to another team. The request did not run. */
  KeyReused,       /**< Redeemed before for a different request. This one did not run. */
};

/** The result of redeeming a ticket. */
struct TicketAnswer
{
  TicketResult mResult = TicketResult::Invalid;
  IncarnationId mIssuer; /**< Set for IssuedElsewhere. */
  /** Set for AlreadyRunning and Finished: the request that redeemed the ticket. */
  RequestId mRunning;
  std::optional<ClaimOutcome> mOutcome; /**< Set for Finished. */
};

/** Issues single-use tickets and redeems them. Each ticket lets one request run.

    The state is kept in memory only. No store access is needed, so requests with tickets are served
    during a store outage. Only the incarnation that issued a ticket may redeem it; when it ends,
    its tickets cannot be redeemed any more. */
class TicketIssuer
{
public:
  struct Options
  {
    IncarnationId mSelf;
    std::chrono::seconds mLifetime{ 900 };
    std::size_t mMaxStoredBodyBytes = 4096;
    std::size_t mMaxStoredOutcomes = 8192; /**< Tickets with older outcomes return MayHaveRun. */
    /** Latest tickets for which it is recorded whether they were redeemed, in one byte each. Older
        ones return MayHaveRun. */
    std::uint64_t mMaxTrackedTickets = 1U << 20U;
  };

  TicketIssuer(Options aOptions, KeyRing aKeys);

  /** Replaces the signing keys after a key rotation. */
  void SetKeys(KeyRing aKeys) { mKeys = std::move(aKeys); }

  /** Returns a new ticket, or nothing if there is no signing key. */
  std::optional<std::string> Issue(const TeamName& aTeam, WallTime aWallNow);

  /** Redeems a ticket. Run is returned at most once for each ticket, unless Finish reports NotRun.
      @param aTeam         the team that presents the ticket
      @param aRequest      the request that carries the ticket
      @param aFingerprint  fingerprint of the request; a resend has the same one */
  TicketAnswer Redeem(const std::string& aTicket,
                      const TeamName& aTeam,
                      const RequestId& aRequest,
                      const Fingerprint& aFingerprint,
                      WallTime aWallNow);

  /** Reports the end of a request for which Redeem returned Run. After NotRun the ticket can be
      redeemed again. */
  void Finish(const RequestId& aRequest, const ClaimOutcome& aOutcome);

private:
  enum class State
  {
    Running,
    Finished,
  };

  struct RedeemedTicket
  {
    RequestId mRequest;
    Fingerprint mFingerprint;
    State mState = State::Running;
    ClaimOutcome mOutcome;
  };

  bool IsRedeemed(std::uint64_t aSerial) const;
  void SetRedeemed(std::uint64_t aSerial, bool aRedeemed);
  TicketAnswer RedeemOwn(std::uint64_t aSerial,
                         const RequestId& aRequest,
                         const Fingerprint& aFingerprint,
                         bool aExpired);
  void EvictOldestOutcome();

  Options mOptions;
  KeyRing mKeys;
  std::uint64_t mNextSerial = 0;
  std::uint64_t mFirstTrackedSerial = 0; /**< Serial number of the first element of mRedeemed. */
  std::deque<bool> mRedeemed;
  std::map<std::uint64_t, RedeemedTicket> mRedeemedTickets; /**< By serial number. */
  std::map<RequestId, std::uint64_t> mRunning;
  std::deque<std::uint64_t> mFinished; /**< Oldest first. */
};

} // namespace skylarkchute
