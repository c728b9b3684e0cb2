#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs the `relay` command: a relay in front of the platform's endpoints, until a stop signal.
    @param aArguments  without the names of the program and the command
    @returns an ExitCode: BadInput for settings that are not valid, Failed when an address of the
             settings cannot be bound */
int RunRelayCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors);

} // namespace skylarkchute
