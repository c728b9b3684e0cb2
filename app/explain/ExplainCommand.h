#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Asks a running relay where it would send a request now, and why. Nothing is sent.
    @returns exit code: 0 done, 1 the relay did not answer or would refuse the request, 2 bad input
 */
int RunExplainCommand(const std::vector<std::string>& aArguments,
                      std::ostream& aOut,
                      std::ostream& aErrors);

} // namespace skylarkchute
