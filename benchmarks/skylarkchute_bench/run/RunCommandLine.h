#pragma once

#include "RunOptions.h"

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** Returns the command-line options of one run, for `--help` and parsing. */
boost::program_options::options_description RunOptionsDescription();

/** Converts parsed command-line options. Throws boost::program_options::error with a human-readable
    message if a value is invalid. */
RunOptions RunOptionsFrom(const boost::program_options::variables_map& aValues);

/** Parses a line such as `--workload booking --seed 7`. Throws like RunOptionsFrom. */
RunOptions ParseRunOptions(const std::string& aLine);

} // namespace skylarkchute
