#pragma once

#include "Bundle.h"

#include <vector>

namespace skylarkchute {

/** Returns the faults between the entries of a bundle: names that resolve to nothing, entries that
    contradict each other and limits that cannot be met. */
std::vector<Fault> CheckBundle(const Bundle& aBundle);

} // namespace skylarkchute
