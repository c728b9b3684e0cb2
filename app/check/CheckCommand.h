#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `check`: validates settings and bundle files. The sections determine the kind of a file.
    @param aArguments  arguments after the command name
    @returns ExitCode::Ok if every file is valid, else ExitCode::BadInput */
int RunCheckCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors);

} // namespace skylarkchute
