#pragma once

#include "FleetEndpoint.h"

#include <map>

namespace skylarkchute {

/** An incarnation of an endpoint that has left. */
struct EndpointDeparture
{
  EndpointId mId;
  std::uint64_t mIncarnationStart = 0;
  bool mIsAnnounced = false;   /**< The endpoint said so; otherwise its entry was removed. */
  std::uint64_t mEra = 0;      /**< Of the last known entry. */
  std::uint64_t mRevision = 0; /**< Of the last known entry. */
  std::chrono::milliseconds mAge{ 0 };
};

/** Remembers endpoints that have left for as long as a copy from which the store is restored may
    bring their entries back. Performs no I/O. */
class EndpointDepartures
{
public:
  /** After this time, the store has removed the entries of endpoints that no longer write them. */
  static constexpr std::chrono::milliseconds kLifetime{ 30000 };

  /** Records a departure, seen or told by another instance. Without the start of the incarnation it
      has no effect. */
  void Add(const EndpointDeparture& aDeparture, TimePoint aNow);

  /** Returns whether the endpoint of an entry has said that it leaves. */
  bool HasAnnounced(const FleetEndpoint& aEntry) const;

  /** Returns whether an entry was removed and comes from a copy: its era is later than that of the
      removed one, its revision is not. */
  bool WasRemoved(const FleetEndpoint& aEntry) const;

  /** Forgets an endpoint, which has registered anew. */
  void Forget(const EndpointId& aId);

  /** Forgets what is older than kLifetime. */
  void DropExpired(TimePoint aNow);

  /** Returns the departures from before an era of the store, whose entries may come back. */
  std::vector<EndpointDeparture> Before(std::uint64_t aEra, TimePoint aNow) const;

private:
  struct Known
  {
    EndpointDeparture mDeparture;
    TimePoint mSince{};
  };

  const EndpointDeparture* Find(const FleetEndpoint& aEntry) const;

  std::map<EndpointId, Known> mKnown;
};

} // namespace skylarkchute
