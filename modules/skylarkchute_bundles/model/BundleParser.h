#pragma once

#include "Bundle.h"

#include <boost/leaf.hpp>

#include <string_view>

namespace skylarkchute {

/** Parses and checks the INI text of a bundle.

    @returns the bundle, or all faults found as an error of type Faults. Faults include unknown
             sections and keys, duplicates, values out of range, references to entries that do not
             exist and targets that cannot be met. */
boost::leaf::result<Bundle> ParseBundle(std::string_view aIniText);

} // namespace skylarkchute
