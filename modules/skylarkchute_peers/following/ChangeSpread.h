#pragma once

#include "../membership/GossipTypes.h"

#include <random>

namespace skylarkchute {

/** Selects the instances to tell of a change of the store's objects. Performs no I/O.

    A change crosses to each other zone from its few followers, then spreads at random within each
    zone, so it reaches the fleet in a number of steps that grows with the logarithm of its size.
    Instances that are missed by chance get the change with the regular exchange. */
class ChangeSpread
{
public:
  /** Where this instance has a change from. */
  enum class Source
  {
    Store,
    Instance,
  };

  ChangeSpread(std::string aZone, std::uint64_t aSeed);

  /** Returns the names of the instances to tell. */
  std::vector<std::string> Receivers(const std::vector<const MemberUpdate*>& aLive, Source aSource);

  /** Returns the name of any one of the instances; empty if there is none. */
  std::string AnyOf(const std::vector<const MemberUpdate*>& aLive);

private:
  std::string mZone;
  std::minstd_rand mRandom;
};

} // namespace skylarkchute
