#pragma once

#include "../Commands.h"

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace skylarkchute {

/** Formats a time as `2026-03-09T12:00:00Z` (UTC, ISO 8601). */
std::string FormatTime(WallTime aTime);

/** Parses a time such as `2026-03-09T12:00:00Z`, or a duration such as `2h`, which is subtracted
    from @p aNow.
    @returns nothing if the text is neither */
std::optional<WallTime> ParseSince(const std::string& aText, WallTime aNow);

/** Returns the content of a file, or nothing if it cannot be read. */
std::optional<std::string> ReadFile(const std::string& aPath);

/** Runs an operation and prints its errors.
    @param aCommand  prefix of each error line
    @returns BadInput if the operation failed with Faults, Failed for any other error, else Ok */
ExitCode RunAndPrintErrors(const std::string& aCommand,
                           std::ostream& aErrors,
                           const std::function<boost::leaf::result<void>()>& aOperation);

} // namespace skylarkchute
