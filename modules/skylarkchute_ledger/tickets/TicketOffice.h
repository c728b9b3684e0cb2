#pragma once

#include "../claims/ClaimTypes.h"
#include "../tokens/KeyRing.h"

#include <deque>
#include <map>
#include <vector>

namespace skylarkchute {

enum class TicketResult
{
  Run,            /**< The ticket is used up now: dispatch the request, once. */
  AlreadyRunning, /**< The request of mRunning runs under it. */
  Finished,       /**< It ran before; the outcome is given. */
  MayHaveRun,     /**< It was handed in, and its outcome is no longer known. */
  Expired,        /**< Never handed in, and too late now. It did not run. */
  Foreign,        /**< The incarnation of mIssuer decides; forward the request to it. */
  NotATicket,     /**< Not of the form of a ticket: a key of the caller's own. */
  Invalid,        /**< Forged, or of another team. It did not run. */
  KeyReused,      /**< Handed in before with another request. This one did not run. */
};

/** The answer to handing in a ticket. */
struct TicketAnswer
{
  TicketResult mResult = TicketResult::Invalid;
  IncarnationId mIssuer;                /**< After Foreign. */
  RequestId mRunning;                   /**< After AlreadyRunning. */
  std::optional<ClaimOutcome> mOutcome; /**< After Finished. */
};

/** Issues single-use tickets and decides alone, from memory, which of them run.

    No store is needed, so tickets keep orders flowing through an outage. When this incarnation
    ends, so does the right to run its tickets: nobody else may run them. */
class TicketOffice
{
public:
  struct Options
  {
    IncarnationId mSelf;
    std::chrono::seconds mLifetime{ 900 };
    std::size_t mLargestBodyBytes = 4096;
    std::size_t mMostOutcomes = 8192; /**< Outcomes kept; older ones become MayHaveRun. */
    /** Tickets of which it is known whether they were handed in, at one byte each. */
    std::uint64_t mMostTickets = 1U << 20U;
  };

  TicketOffice(Options aOptions, KeyRing aKeys);

  /** Replaces the keys after a rotation. */
  void SetKeys(KeyRing aKeys) { mKeys = std::move(aKeys); }

  /** Returns a new ticket, or nothing while there is no key. */
  std::optional<std::string> Issue(const TeamName& aTeam, WallTime aWallNow);

  /** Hands in a ticket. Run is returned at most once for each ticket.
      @param aRequest      the request that carries it
      @param aFingerprint  of the request; a resend has the same one */
  TicketAnswer Accept(const std::string& aTicket,
                      const TeamName& aTeam,
                      const RequestId& aRequest,
                      const Fingerprint& aFingerprint,
                      WallTime aWallNow);

  /** Reports the end of a request that a ticket let run. After NotRun the same ticket may be
      handed in again. */
  void Finish(const RequestId& aRequest, const ClaimOutcome& aOutcome);

private:
  enum class State
  {
    Running,
    Finished,
  };

  struct Used
  {
    RequestId mRequest;
    Fingerprint mFingerprint;
    State mState = State::Running;
    ClaimOutcome mOutcome;
  };

  bool WasHandedIn(std::uint64_t aSerial) const;
  void MarkHandedIn(std::uint64_t aSerial, bool aHandedIn);
  TicketAnswer AcceptOwn(std::uint64_t aSerial,
                         const RequestId& aRequest,
                         const Fingerprint& aFingerprint,
                         bool aExpired);
  void ForgetOldest();

  Options mOptions;
  KeyRing mKeys;
  std::uint64_t mNextSerial = 0;
  std::uint64_t mFirstKnown = 0; /**< Serial of the first bit. */
  std::deque<bool> mHandedIn;
  std::map<std::uint64_t, Used> mUsed; /**< By serial. */
  std::map<RequestId, std::uint64_t> mRunning;
  std::deque<std::uint64_t> mFinished; /**< Oldest first. */
};

} // namespace skylarkchute
