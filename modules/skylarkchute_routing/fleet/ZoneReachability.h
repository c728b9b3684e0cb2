#pragma once

#include "FleetTable.h"

#include <chrono>
#include <map>
#include <vector>

namespace skylarkchute {

/** Properties of a request that determine which zones it may use. */
struct ZoneRequest
{
  ZoneName mOwnZone;                     /**< Of this instance. */
  std::vector<EndpointId> mTried;        /**< @see RequestPlan::mTried */
  std::vector<ZoneName> mNotReached;     /**< @see RequestPlan::mZonesNotReached */
  bool mMayProbe = false;                /**< No attempt of it has run or failed to connect. */
  std::chrono::milliseconds mToTarget{}; /**< Time left until the target latency. */
  std::chrono::milliseconds mToEnd{};    /**< Time left until the deadline. */
};

/** Endpoints that a request may use. */
struct ZoneSelection
{
  std::vector<FleetRow*> mRows;
  bool mIsProbe = false;       /**< The request tests the way to an avoided zone. */
  bool mAreAllAvoided = false; /**< All of its endpoints are in avoided zones. */
};

/** Decides which availability zones this instance avoids because it does not reach their endpoints,
    while it reaches those of other zones. Performs no I/O.

    Without it, each endpoint of such a zone is found unreachable by itself, at the cost of a
   connect timeout, and again after each of its avoidance periods. A zone is avoided once several of
   its endpoints could not be reached with no answer from the zone meanwhile, at least two of them
    because no connection was made: a slow endpoint accepts connections. Failures that an answer of
    their zone followed show that single endpoints are down, and raise the number required. An
    avoided zone is tested by a request now and then, and is open again at the first answer. */
class ZoneReachability
{
public:
  /** A zone that is avoided from now on, or no longer. */
  struct Change
  {
    ZoneName mZone;
    bool mIsAvoided = false;
    std::size_t mEndpoints = 0; /**< That could not be reached. */
  };

  /** Interval at which an avoided zone is tested. */
  static constexpr std::chrono::milliseconds kProbeInterval{ 400 };

  /** Sets the number of zones whose loss the deployment has to bear. With zero, no zone is avoided.
      An instance in a lost zone may avoid all others, so a higher number is no limit. */
  void SetTolerated(std::uint32_t aZones);

  /** Returns whether zones may be avoided. */
  bool IsInForce() const { return mIsInForce; }

  /** Records that an endpoint of a zone answered.
      @returns whether the zone was avoided until now */
  bool OnReached(const ZoneName& aZone, TimePoint aNow);

  /** Records that an open endpoint could not be reached, fell silent or lost its connection.
      @param aIsConnectFailure  no connection was made
      @param aEndpoints         number of open endpoints of the zone */
  void OnNotReached(const FleetEndpoint& aEndpoint,
                    bool aIsConnectFailure,
                    std::size_t aEndpoints,
                    TimePoint aNow);

  /** Records the time that a new connection to an endpoint of a zone took. */
  void OnConnected(const ZoneName& aZone, std::chrono::microseconds aTime);

  /** Returns the time after which a connection to an endpoint of a zone is given up, by the times
      that others took, or nothing while these are not known. A request that cannot connect has not
      run and goes elsewhere, so that it is given up much sooner than a connection without
      alternative. */
  std::optional<std::chrono::milliseconds> ConnectTimeout(const ZoneName& aZone) const;

  /** Returns whether a zone is avoided. */
  bool IsAvoided(const ZoneName& aZone) const;

  /** Returns whether an endpoint of a zone could not be reached and none has answered since. */
  bool IsSuspected(const ZoneName& aZone) const;

  /** Returns the endpoints that a request may use: none in an avoided zone while there are others,
      or only those of an avoided zone if the request is to test it. After an endpoint could not be
      reached, the request goes to this instance's own zone, which is the most likely to be reached,
      or else to another one. */
  ZoneSelection Select(const std::vector<FleetRow*>& aRows,
                       const ZoneRequest& aRequest,
                       TimePoint aNow);

  /** Forgets expired failures and those of endpoints that are gone, leave or have started again. A
      zone of which nothing else is known is open again. */
  void Prune(FleetTable& aTable, TimePoint aNow);

  /** Returns the changes since the last call. */
  std::vector<Change> TakeChanges();

  /** Returns the services of which a request found all its endpoints in avoided zones, each once
      until no zone is avoided. */
  std::vector<ServiceName> TakeCutOffServices();

private:
  struct Failure
  {
    TimePoint mTime{};
    std::uint64_t mIncarnationStart = 0;
    bool mIsConnectFailure = false;
  };

  struct Zone
  {
    std::map<EndpointId, Failure> mFailures;  /**< Since its last answer. */
    std::map<EndpointId, TimePoint> mRefuted; /**< Failures before its last answer. */
    std::optional<TimePoint> mAnsweredAt;
    std::optional<std::chrono::microseconds> mConnectTime; /**< Recent maximum. */
    std::size_t mEndpoints = 0;
    bool mIsAvoided = false;
    TimePoint mNextProbe{};
  };

  std::size_t RequiredFailures(const Zone& aZone) const;
  bool IsCutOff(const ZoneName& aName, const Zone& aZone) const;
  void Judge(TimePoint aNow);
  void Open(const ZoneName& aName, Zone& aZone);
  bool TakeProbe(const ZoneName& aZone, const ZoneRequest& aRequest, TimePoint aNow);

  bool mIsInForce = false;
  std::map<ZoneName, Zone> mZones;
  std::vector<Change> mChanges;
  std::map<ServiceName, bool> mCutOffServices; /**< Whether they were taken. */
};

} // namespace skylarkchute
