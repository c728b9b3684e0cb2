#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `serve` until SIGTERM or SIGINT, then stops gracefully.
    @param aArguments  arguments after the command name
    @returns an ExitCode: Ok after a complete stop, Failed if requests or usage records were left
             unfinished or if a listener could not be started, BadInput for invalid settings */
int RunServeCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors);

} // namespace skylarkchute
