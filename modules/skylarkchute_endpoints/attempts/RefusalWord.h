#pragma once

#include <string>

namespace skylarkchute {

/** Returns whether an endpoint's error answer says that the request did not run.
    @param aVerdictHeader  text of `Skylark-Verdict`, possibly empty
    @param aBody           problem document, possibly empty */
bool SaysNotRun(const std::string& aVerdictHeader, const std::string& aBody);

} // namespace skylarkchute
