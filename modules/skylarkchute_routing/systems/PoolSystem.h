#pragma once

#include "../tables/RouterTables.h"

namespace skylarkchute {

/** Keeps the members of each pool up to date with the endpoint table. */
class PoolSystem
{
public:
  explicit PoolSystem(RouterTables& aTables) : mTables(aTables) {}

  /** Updates the members of a pool when the endpoint table has changed, and returns the pool. */
  PoolRow& RefreshPool(const PoolKey& aKey);

  /** Marks the members of every pool as outdated, since the labels of versions may have changed. */
  void InvalidateMembers();

  /** Removes pools with an empty queue whose version or service is no longer in the bundle. */
  void DropUnused();

  /** Returns how many attempts end in the pool per second; zero until this has been measured. */
  double DrainRate(PoolRow& aPool, TimePoint aNow) const;

private:
  std::vector<EndpointId> Subset(const std::vector<EndpointId>& aHosting) const;
  bool Serves(const EndpointRow& aRow, const PoolKey& aKey) const;

  RouterTables& mTables;
};

} // namespace skylarkchute
