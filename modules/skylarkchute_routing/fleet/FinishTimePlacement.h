#pragma once

#include "AffinityRates.h"
#include "PlacementPolicy.h"

#include <chrono>
#include <map>

namespace skylarkchute {

/** Properties of a request that determine where it is expected to finish first. */
struct FinishTimeRequest
{
  PlacementRequest mPlacement;
  /** Usual time until the answer to such a request, at the mean load and speed of the service. */
  std::chrono::milliseconds mUsualTime{ 0 };
  std::chrono::milliseconds mTimeLeft{ 0 }; /**< Until the target latency. */
  /** Additional time where the shared parts of the prompt are not cached. */
  std::chrono::milliseconds mUncachedTime{ 0 };
  bool mWasRejected = false; /**< An endpoint had no room for it. */
};

/** Chooses the endpoint of an attempt where the answer is expected first. For services whose load
   is known fleet-wide; PlacementPolicy is used for the others. Performs no I/O.

    Requests of one affinity go to the first places of a rendezvous order, which is the same on all
    instances; the larger their share of the traffic, the more places they are spread over. A place
    that is not expected to answer in time, or that is much more loaded than the others, is skipped.
    Other requests go to the better one of two random endpoints: if all instances chose the best one
    of a view that is a second old, they would overload it. An endpoint that is full, as far as
    known, gets nothing while another one has room. */
class FinishTimePlacement
{
public:
  /** @param aRows  endpoints of one service that may receive the request; not modified
      @returns the chosen row, or null if there is no candidate, or none that has room for a request
               that was rejected before */
  FleetRow* Choose(const std::vector<FleetRow*>& aRows,
                   const FinishTimeRequest& aRequest,
                   TimePoint aNow);

private:
  struct Candidate
  {
    FleetRow* mRow = nullptr;
    double mTime = 0;         /**< Time for the work relative to the service's usual time. */
    std::uint64_t mOrder = 0; /**< Rank in the rendezvous order; highest first. */
    bool mHasRoom = false;
    bool mIsAvoided = false;
  };

  bool Collect(const std::vector<FleetRow*>& aRows,
               const FinishTimeRequest& aRequest,
               TimePoint aNow);
  void KeepReliable(TimePoint aNow);
  FleetRow* ChooseByAffinity(const FinishTimeRequest& aRequest, TimePoint aNow);
  FleetRow* ChooseByTime(const FinishTimeRequest& aRequest, std::uint64_t aRandom) const;

  std::map<ServiceName, AffinityRates> mRates;
  std::vector<Candidate> mCandidates; /**< Of the current decision; a member to save allocations. */
};

} // namespace skylarkchute
