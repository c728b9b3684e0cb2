#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs one relay in front of the platform's endpoints until it is told to stop.
    @returns an ExitCode */
int RunRelayCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors);

} // namespace skylarkchute
