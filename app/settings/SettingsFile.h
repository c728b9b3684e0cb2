#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Reads and validates a settings file with overrides from the environment and the command line.
    @param aOverrides  `SECTION.KEY=VALUE` texts; they take precedence over file and environment
    @returns the settings, or nothing when they cannot be read or are not valid; all faults are
             written to @p aErrors */
std::optional<Settings> ReadSettingsFile(const std::string& aFile,
                                         const std::vector<std::string>& aOverrides,
                                         std::ostream& aErrors);

/** Returns whether the text of a file is that of settings rather than of a bundle: it has a section
    `[instance]`. */
bool IsSettingsText(const std::string& aText);

} // namespace skylarkchute
