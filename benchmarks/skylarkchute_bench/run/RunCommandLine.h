#pragma once

#include "RunOptions.h"

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** Returns the options that describe one run, for `--help` and parsing. */
boost::program_options::options_description RunOptionsDescription();

/** Returns the run described by parsed options. Throws boost::program_options::error with a message
    for people when a value is unknown. */
RunOptions RunOptionsFrom(const boost::program_options::variables_map& aValues);

/** Returns the run described by a line such as `--workload booking --seed 7`. Throws like
 * RunOptionsFrom.
 */
RunOptions ParseRunOptions(const std::string& aLine);

} // namespace skylarkchute
