#pragma once

#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `usage`: prints the bill per team, folded from the ledger.
    @param aArguments  without the program's and the command's name
    @returns an ExitCode */
int RunUsageCommand(const std::vector<std::string>& aArguments,
                    ObjectApi& aStore,
                    std::ostream& aOut,
                    std::ostream& aErrors);

} // namespace skylarkchute
