#pragma once

#include "../tables/RouterTables.h"

namespace skylarkchute {

/** Keeps the members of each pool in step with the endpoint table. */
class PoolSystem
{
public:
  explicit PoolSystem(RouterTables& aTables) : mTables(aTables) {}

  /** Returns the pool with its members up to date. */
  PoolRow& Fresh(const PoolKey& aKey);

  /** Forgets the members of every pool, since versions may have other labels. */
  void OnVersionsReplaced();

  /** Drops pools whose version or service left the bundle and that hold no request. */
  void DropUnused();

  /** Returns how fast the pool ends attempts, per second; zero when that is not known yet. */
  double DrainRate(PoolRow& aPool, TimePoint aNow) const;

private:
  std::vector<EndpointId> Subset(const std::vector<EndpointId>& aHosting) const;
  bool Serves(const EndpointRow& aRow, const PoolKey& aKey) const;

  RouterTables& mTables;
};

} // namespace skylarkchute
