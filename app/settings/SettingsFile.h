#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Reads and checks a settings file with overrides of the environment and the command line.
    @param aOverrides  `SECTION.KEY=VALUE` texts, over file and environment
    @returns nothing after writing every fault to @p aErrors */
std::optional<Settings> ReadSettingsFile(const std::string& aFile,
                                         const std::vector<std::string>& aOverrides,
                                         std::ostream& aErrors);

/** Returns whether the text of a file looks like settings rather than a bundle. */
bool IsSettingsText(const std::string& aText);

} // namespace skylarkchute
