#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Validates bundle files and prints each fault with its file, section, key and reason.
    @returns ExitCode::Ok if all files are valid, else ExitCode::BadInput */
int RunCheckBundle(const std::vector<std::string>& aFiles,
                   std::ostream& aOut,
                   std::ostream& aErrors);

} // namespace skylarkchute
