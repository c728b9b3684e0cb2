#pragma once

#include "PeerExchange.h"

namespace skylarkchute {

/** Passes on which endpoints have left although their entries in the store do not say so: they said
    it in an answer, or the store was restored from a copy. Performs no I/O. */
class DepartureExchange
{
public:
  explicit DepartureExchange(FleetTable& aEndpoints);

  /** Adds the departures if those of the receiver differ. To be called after MirrorExchange::Fill.
      @param aKnown     what the receiver last reported, or null when it is unknown
      @param aMaxBytes  limit on the departures; if they exceed it they are left out */
  void Fill(PeerExchange& aExchange,
            const KnownKinds* aKnown,
            std::size_t aMaxBytes,
            TimePoint aNow) const;

  /** Applies what another instance sent.
      @returns the endpoints that get no new requests because of it */
  std::vector<EndpointId> Apply(const PeerExchange& aExchange, TimePoint aNow);

private:
  FleetTable& mEndpoints;
};

} // namespace skylarkchute
