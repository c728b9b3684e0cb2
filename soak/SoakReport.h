#pragma once

#include "Evidence.h"
#include "PromiseChecker.h"

#include <iosfwd>
#include <string>

namespace skylarkchute::soak {

/** Prints the results of the checks and, for broken ones, the log lines that name the request.
    @param aWork  directory with the logs of the relays
    @returns whether no promise is broken */
bool PrintResults(std::ostream& aOut,
                  const std::vector<CheckResult>& aResults,
                  const std::string& aWork);

/** Writes how many requests were served, late, refused and failed, by the second of their start.
    @param aBegin  start of the first second */
void WriteSeconds(std::ostream& aOut, const Evidence& aEvidence, TimePoint aBegin);

} // namespace skylarkchute::soak
