#pragma once

#include "FleetTable.h"
#include "LatencyBaseline.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkchute {

/** The operator's limit on hedged requests. */
struct HedgeBound
{
  double mShare = 0;               /**< Hedges per request of a service; zero: off. */
  std::set<ServiceName> mServices; /**< Services whose requests are hedged; empty: all. */
};

/** Why a request is not hedged although it is slow. */
enum class HedgeLimit
{
  Share,       /**< The operator's share is used up. */
  RetryBudget, /**< The rest of the retry budget is left to retries. */
  Attempts,    /**< The route allows no further attempt. */
  Suspect,     /**< Endpoints crashed under such requests. */
  Partition,   /**< This instance does not reach its endpoints. */
  Rollout,     /**< The service's answers are compared for a rollout. */
  Room,        /**< The request is too large for the service's free room. */
  NoEndpoint,  /**< No other endpoint may receive it. */
};

/** Returns the name of a limit for metrics. */
std::string_view HedgeLimitName(HedgeLimit aLimit);

/** Size of a request and the room of its service. */
struct HedgeRoom
{
  double mFreeSlots = 0;  /**< Over all endpoints. */
  double mFreeTokens = 0; /**< Memory of all engines; zero if the endpoints are not engines. */
  double mTokens = 0;     /**< That the request may take in an engine's memory. */
};

/** Decides when a second copy of a repeatable request is sent beside the first, and where to.
    Performs no I/O. Keeps no state while it is off.

    The delay is a percentile of the measured latencies of the same route and model, with similar
    prompt length. It follows from the operator's share, so that the share is spent on the slowest
    requests instead of on those that come first. */
class HedgePolicy
{
public:
  /** Latencies of a kind that have to be known before its requests are hedged. */
  static constexpr std::size_t kMinSamples = 50;

  /** Most hedges that a service saves up for later. Bounds how many are sent at once when all
      endpoints become slow. */
  static constexpr double kMaxSaved = 3;

  /** Largest part of a service's free room that a hedged request may take. */
  static constexpr double kRoomShare = 0.1;

  /** Sets the limit. Drops all state if hedging is off. */
  void SetBound(const HedgeBound& aBound);

  /** Returns whether requests of a service are hedged. */
  bool IsEnabled(const ServiceName& aService) const;

  /** Counts a request, of which the share is a part. */
  void OnRequest(const ServiceName& aService);

  /** Records the time from sending an attempt to its first byte, or to the moment when another
      attempt answered first. Without the latter the percentile would fall with each hedge. */
  void Record(const ServiceName& aService,
              const LatencyKind& aKind,
              std::chrono::microseconds aLatency);

  /** Returns the time after which an attempt is slower than most of its kind, or nothing while too
      few latencies are known. */
  std::optional<std::chrono::milliseconds> Delay(const LatencyKind& aKind) const;

  /** Returns whether the share permits a hedge. */
  bool HasShare(const ServiceName& aService) const;

  /** Counts a hedge. */
  void TakeShare(const ServiceName& aService);

  /** Returns whether the request is small beside the free room. */
  static bool Fits(const HedgeRoom& aRoom);

  /** Returns the rows that may receive the copy: open, healthy, warm, with a free slot, without a
      pause or a limit, and not tried.
      @param aTried   endpoints to exclude
      @param aWarmup  how long the service's endpoints are cold after their start */
  std::vector<FleetRow*> Permitted(const std::vector<FleetRow*>& aRows,
                                   const std::vector<EndpointId>& aTried,
                                   std::chrono::milliseconds aWarmup,
                                   TimePoint aNow);

  /** Returns the rows in another zone than the first attempt's endpoint; if there are none, those
     on another machine, else all. */
  static std::vector<FleetRow*> Apart(const std::vector<FleetRow*>& aRows, const FleetRow* aFirst);

  /** Returns whether nothing is stored. */
  bool IsEmpty() const { return mSaved.empty() && mSamples.empty(); }

private:
  /** The latest latencies of a kind. */
  struct Samples
  {
    std::vector<float> mMs; /**< In milliseconds. A ring once it is full. */
    std::size_t mNext = 0;
  };

  using Key = std::pair<std::string, std::size_t>;

  static Key KeyOf(const LatencyKind& aKind);

  HedgeBound mBound;
  std::map<ServiceName, double> mSaved; /**< Hedges that the share permits. */
  std::map<Key, Samples> mSamples;      /**< By name and bit width of the prompt's length. */
};

} // namespace skylarkchute
