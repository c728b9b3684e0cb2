#pragma once

#include "Bundle.h"

#include <boost/leaf.hpp>

#include <string_view>

namespace skylarkchute {

/** Parses and checks the INI text of a bundle.

    @returns the bundle, or every fault found as an error of type Faults. Unknown sections and keys,
             duplicates, names that resolve to nothing and limits that cannot be met are faults. */
boost::leaf::result<Bundle> ParseBundle(std::string_view aIniText);

} // namespace skylarkchute
