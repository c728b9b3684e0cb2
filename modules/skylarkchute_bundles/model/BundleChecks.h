#pragma once

#include "Bundle.h"

#include <vector>

namespace skylarkchute {

/** Checks the entries of a bundle against each other.
    @returns a fault for each reference to an entry that does not exist, each contradiction between
             entries and each target that cannot be met */
std::vector<Fault> CheckBundle(const Bundle& aBundle);

} // namespace skylarkchute
