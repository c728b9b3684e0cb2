#include "DepartureExchange.h"

namespace skylarkchute {

namespace {

/** Size of an encoded departure, about. */
constexpr std::size_t kBytesPerDeparture = 80;

std::uint64_t DigestOf(const std::vector<EndpointDeparture>& aDepartures)
{
  std::uint64_t digest = 0;
  for (const auto& it : aDepartures) {
    digest ^= StableHash(it.mId.Value(), it.mIncarnationStart);
  }
  return digest;
}

} // namespace

DepartureExchange::DepartureExchange(FleetTable& aEndpoints) : mEndpoints(aEndpoints) {}

void DepartureExchange::Fill(PeerExchange& aExchange,
                             const KnownKinds* aKnown,
                             std::size_t aMaxBytes,
                             TimePoint aNow) const
{
  const auto own = aExchange.mKinds.find(ObjectKind::Endpoints);
  if (own == aExchange.mKinds.end()) {
    return;
  }
  auto departures = mEndpoints.Departures(aNow);
  own->second.mInForce = DigestOf(departures);
  if (aKnown == nullptr || departures.size() * kBytesPerDeparture > aMaxBytes) {
    return;
  }
  const auto theirs = aKnown->find(ObjectKind::Endpoints);
  if (theirs == aKnown->end() || theirs->second.mInForce != own->second.mInForce) {
    aExchange.mDepartures = std::move(departures);
  }
}

std::vector<EndpointId> DepartureExchange::Apply(const PeerExchange& aExchange, TimePoint aNow)
{
  std::vector<EndpointId> closed;
  for (const auto& it : aExchange.mDepartures) {
    if (mEndpoints.OnDeparture(it, aNow)) {
      closed.push_back(it.mId);
    }
  }
  return closed;
}

} // namespace skylarkchute
