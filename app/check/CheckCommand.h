#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `check`: validates settings files and bundle files, told apart by their sections.
    @param aArguments  without the program's and the command's name
    @returns Ok when every file is valid, else BadInput */
int RunCheckCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors);

} // namespace skylarkchute
