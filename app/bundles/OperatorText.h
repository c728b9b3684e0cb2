#pragma once

#include "../Commands.h"

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace skylarkchute {

/** Returns a time as `2026-03-09T12:00:00Z`. */
std::string FormatTime(WallTime aTime);

/** Reads `2026-03-09T12:00:00Z`, or a duration such as `2h` before @p aNow. */
std::optional<WallTime> ParseSince(const std::string& aText, WallTime aNow);

/** Returns the content of a file, or nothing when it cannot be read. */
std::optional<std::string> ReadFile(const std::string& aPath);

/** Runs an operation and prints what went wrong.
    @param aCommand  begins each line of an error
    @returns BadInput after the faults of a bundle, Failed after any other error, else Ok */
ExitCode RunForOperator(const std::string& aCommand,
                        std::ostream& aErrors,
                        const std::function<boost::leaf::result<void>()>& aOperation);

} // namespace skylarkchute
