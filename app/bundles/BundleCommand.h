#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace skylarkchute {

/** Runs `bundle propose | approve | roll | revert | show | list | diff`.
    @param aArguments  arguments after the command name
    @param aClock      time source for the timestamps of proposals, approvals and audit records
    @returns an ExitCode */
int RunBundleCommand(const std::vector<std::string>& aArguments,
                     ObjectApi& aStore,
                     std::ostream& aOut,
                     std::ostream& aErrors,
                     const Clock& aClock = SystemClock{});

} // namespace skylarkchute
