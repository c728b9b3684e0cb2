#pragma once

#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `usage`: prints the bill per team and model, aggregated from the usage batches.
    @param aArguments  arguments after the command name
    @returns an ExitCode */
int RunUsageCommand(const std::vector<std::string>& aArguments,
                    ObjectApi& aStore,
                    std::ostream& aOut,
                    std::ostream& aErrors);

} // namespace skylarkchute
