#pragma once

#include "../identifiers/Identifiers.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace skylarkchute {

/** Returns a 64-bit hash that is the same on all instances and in all builds. */
std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed = 0);

/** Returns the members in the order of rendezvous hashing for @p aKey: the owner first, then its
    successors. Removing a member changes the owner only of the keys that it owned.
    @param aMembers  in any order; the result does not depend on it
    @param aCount    maximum number of members to return */
std::vector<InstanceId> RendezvousOrder(std::string_view aKey,
                                        const std::vector<InstanceId>& aMembers,
                                        std::size_t aCount);

} // namespace skylarkchute
