#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `serve` until SIGTERM or SIGINT, then stops gracefully.
    @param aArguments  without the program's and the command's name
    @returns an ExitCode: Ok after a complete stop, Failed when requests or records were left */
int RunServeCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors);

} // namespace skylarkchute
