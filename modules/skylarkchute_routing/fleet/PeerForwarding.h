#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace skylarkchute {

/** Decides whether requests go to endpoints through another instance, and through which one.

    An instance may lose its links to the endpoints while callers, the store and the other instances
    still reach it. It then forwards its requests to instances that reach the endpoints. A forwarded
    request is never forwarded again. Load pattern: all requests of up to most of the instances, at
    the few that are left. */
class PeerForwarding
{
public:
  /** Another instance that accepts forwarded requests. */
  struct Peer
  {
    std::string mName;
    std::string mAddress;        /**< `IP:PORT` for forwarded requests. */
    bool mIsPartitioned = false; /**< As it says itself. */
    ZoneName mZone;
    std::uint32_t mOutstanding = 0;
    TimePoint mAvoidUntil{};
    std::uint32_t mRejections = 0; /**< In a row. */
  };

  /** Records what an instance says of itself. One without an address accepts no requests. */
  void OnPeer(const std::string& aName,
              const std::string& aAddress,
              bool aIsPartitioned,
              ZoneName aZone = {});

  /** Forgets the instances that are not among the live ones. */
  void KeepPeers(const std::vector<InstanceId>& aLive);

  /** Records that an endpoint answered this instance itself.
      @returns whether this ends a partition */
  bool OnReached();

  /** Records that an endpoint could not be reached, fell silent or lost its connection.
      @param aEndpoints  number of endpoints known */
  void OnNotReached(const EndpointId& aEndpoint, std::size_t aEndpoints, TimePoint aNow);

  /** Returns whether this instance seems to be partitioned from all endpoints. */
  bool IsPartitioned() const { return mIsPartitioned; }

  /** Returns whether the next request of a partitioned instance is to test the way to the
     endpoints; true once in kProbeInterval. */
  bool TakeProbe(TimePoint aNow);

  /** Returns the instance that gets a request, or null if there is none: among those that reach the
      endpoints, the one with the fewest forwarded requests of this instance.
      @param aTieBreaker  random number
      @param aZones       zones to which only instances in them may have a way: these are preferred
      @param aMayReceive  returns whether an instance in a zone may get the request; null for all
      @param aTried       where the request failed before; an instance among these is chosen only if
                          there is no other */
  Peer* Choose(std::uint64_t aTieBreaker,
               TimePoint aNow,
               const std::vector<ZoneName>& aZones = {},
               const std::function<bool(const ZoneName&)>& aMayReceive = nullptr,
               const std::vector<EndpointId>& aTried = {});

  /** Records the end of a forwarded request.
      @param aWasRejected  it could not be reached, or did not run the request */
  void OnEnded(const std::string& aName, bool aWasRejected, TimePoint aNow);

  /** Interval at which a partitioned instance tests the way to the endpoints. */
  static constexpr std::chrono::milliseconds kProbeInterval{ 400 };

private:
  std::map<std::string, Peer> mPeers;
  /** Endpoints that failed since one answered, with the time of the last failure. */
  std::map<EndpointId, TimePoint> mNotReached;
  bool mIsPartitioned = false;
  TimePoint mNextProbe{};
};

} // namespace skylarkchute
