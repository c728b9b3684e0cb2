#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs the `status` command: reads the status of the instances in the platform's list and of those
    named by `--instance`, which also works when the platform is down, and prints it.
    @param aArguments  without the names of the program and the command
    @returns an ExitCode: Failed when no instance answered */
int RunStatusCommand(const std::vector<std::string>& aArguments,
                     std::ostream& aOut,
                     std::ostream& aErrors);

} // namespace skylarkchute
