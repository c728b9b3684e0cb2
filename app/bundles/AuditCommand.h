#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `audit`: prints who proposed, approved, rolled, reverted or withdrew what, and when.
    @param aArguments  arguments after the command name
    @returns an ExitCode */
int RunAuditCommand(const std::vector<std::string>& aArguments,
                    ObjectApi& aStore,
                    std::ostream& aOut,
                    std::ostream& aErrors,
                    const Clock& aClock = SystemClock{});

} // namespace skylarkchute
