#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Checks bundle files and prints every fault with its file, section, key and reason.
    @returns ExitCode::Ok when all are valid, else ExitCode::BadInput */
int RunCheckBundle(const std::vector<std::string>& aFiles,
                   std::ostream& aOut,
                   std::ostream& aErrors);

} // namespace skylarkchute
