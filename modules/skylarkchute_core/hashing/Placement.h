#pragma once

#include "../identifiers/Identifiers.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace skylarkchute {

/** Returns a 64-bit hash that is equal on every instance and in every build. */
std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed = 0);

/** Returns the members in rendezvous order for @p aKey: the owner first, then its successors.
    Removing a member moves only the keys that it owned.
    @param aMembers  any order; the result does not depend on it
    @param aCount    at most this many are returned */
std::vector<InstanceId> RendezvousOrder(std::string_view aKey,
                                        const std::vector<InstanceId>& aMembers,
                                        std::size_t aCount);

} // namespace skylarkchute
