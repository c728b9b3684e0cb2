#pragma once

#include "../model/Bundle.h"

#include <string>
#include <vector>

namespace skylarkchute {

/** Returns what a bundle would allow that the one in force does not: versions that are withdrawn or
    gone, team keys, permissions. One operator alone may only revert to a bundle that allows
    nothing more; anything else needs a proposal and its approval.
    @returns one sentence part for each, empty when nothing more is allowed */
std::vector<std::string> FindWidening(const Bundle& aInForce, const Bundle& aWanted);

} // namespace skylarkchute
