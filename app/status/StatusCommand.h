#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `status`: asks the instances of the platform's list, or those named by `--instance` when
    the platform is down, and draws their status.
    @param aArguments  without the program's and the command's name
    @returns an ExitCode: Failed when no instance answered */
int RunStatusCommand(const std::vector<std::string>& aArguments,
                     std::ostream& aOut,
                     std::ostream& aErrors);

} // namespace skylarkchute
