#pragma once

#include "ServedShares.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkchute {

/** A request that waits for room at the endpoints of its service. */
struct WaitingRequest
{
  std::uint64_t mTicket = 0;
  std::size_t mRank = 0; /**< @see RequestPlan::mRank */
  std::string mTeam;     /**< Empty for callers without a team. */
  double mWeight = 1;    /**< Share of the team among the teams. */
  double mCost = 1;      /**< Work at the endpoint, in tokens. */
  double mWorth = 1;     /**< What the caller loses without an answer, in tokens. */
  bool mIsLarge = false; /**< Its prompt is among the largest tenth. */
  bool mMayHaveRun = false;
  TimePoint mSince{};
  TimePoint mUntil{};     /**< It is not sent after this time. */
  TimePoint mNotBefore{}; /**< It is not sent before this time. */
};

/** The waiting requests of one service, in the order in which they are sent.

    Requests that may have run come first, since they cannot be refused any more. The others go by
    rank; within a rank, teams take turns by deficit round robin on the cost of their requests; the
    requests of a team go by the time that is left and by worth. A rank or the large prompts go
    first when they were served much less often than all lately. Performs no I/O. */
class WaitingRequests
{
public:
  /** Counts a request to the service, whether or not it will wait. */
  void OnOffered(std::size_t aRank, bool aIsLarge, TimePoint aNow);

  /** Counts a request that is sent to an endpoint for the first time. */
  void OnServed(std::size_t aRank, bool aIsLarge, TimePoint aNow);

  void Add(WaitingRequest aRequest);

  /** Removes a request.
      @returns false if it does not wait */
  bool Remove(std::uint64_t aTicket);

  /** Removes the requests that may go and returns their tickets, in order.
      @param aCount  number of requests that there is room for */
  std::vector<std::uint64_t> Take(std::size_t aCount, TimePoint aNow);

  /** Removes the requests that cannot be sent in time and returns them.
      @param aRate  requests that are sent per second; zero if unknown */
  std::vector<WaitingRequest> Expired(double aRate, TimePoint aNow);

  /** Returns the number of requests that go before a request, whether or not it waits. */
  double AheadOf(const WaitingRequest& aRequest) const;

  /** Returns the request whose caller loses least, or null if none may be refused. It is one of the
      least urgent rank and of the team with the most requests for its share. */
  const WaitingRequest* LosesLeast() const;

  /** Returns whether the caller of a request that does not wait loses less than that of one that
      does. */
  bool GoesBehind(const WaitingRequest& aRequest, const WaitingRequest& aWaiting) const;

  /** Returns the request that waits longest, or null. */
  const WaitingRequest* Oldest() const;

  std::size_t Size() const { return mRequests.size(); }
  const std::vector<WaitingRequest>& All() const { return mRequests; }

private:
  using Candidates = std::vector<std::size_t>;

  std::size_t ClassOf(const WaitingRequest& aRequest) const;
  Candidates Eligible(TimePoint aNow) const;
  std::size_t TakeTurn(const Candidates& aCandidates);

  std::vector<WaitingRequest> mRequests;
  ServedShares mRanks;
  ServedShares mSizes;                     /**< Kind 1 for large prompts, 0 for others. */
  std::map<std::string, double> mDeficits; /**< Of the teams that wait. */
  std::string mTurn;                       /**< Team whose turn it is. */
  bool mHasQuantum = false;                /**< That team has got its quantum of this turn. */
};

} // namespace skylarkchute
