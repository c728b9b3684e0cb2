#pragma once

#include <string>

namespace skylarkchute {

/** Returns whether an endpoint's error response reports that the request did not run.
    @param aVerdictHeader  value of `Skylark-Verdict`; if not empty, the body is ignored
    @param aBody           problem document, possibly empty */
bool ReportsNotRun(const std::string& aVerdictHeader, const std::string& aBody);

} // namespace skylarkchute
