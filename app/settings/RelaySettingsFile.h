#pragma once

#include <skylarkchute_relay/skylarkchute_relay.h>

#include <iosfwd>
#include <optional>
#include <string>

namespace skylarkchute {

/** Reads and checks a relay's settings file.
    @returns nothing after writing every fault to @p aErrors */
std::optional<RelaySettings> ReadRelaySettingsFile(const std::string& aFile, std::ostream& aErrors);

/** Returns whether the text of a settings file is for a relay rather than for `serve`. */
bool IsRelaySettingsText(const std::string& aText);

} // namespace skylarkchute
