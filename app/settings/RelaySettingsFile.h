#pragma once

#include <skylarkchute_relay/skylarkchute_relay.h>

#include <filesystem>
#include <iosfwd>
#include <optional>
#include <string>

namespace skylarkchute {

/** Reads and validates a relay's settings file.
    @returns the settings, or nothing when the file cannot be read or is not valid; all faults are
             written to @p aErrors */
std::optional<RelaySettings> ReadRelaySettingsFile(const std::string& aFile, std::ostream& aErrors);

/** The settings file of a running relay. */
class RelaySettingsFile final : public SettingsSource
{
public:
  /** @param aErrors  receives the faults of a file that is not valid; has to outlive this object */
  RelaySettingsFile(std::string aFile, std::ostream& aErrors);

  std::optional<RelaySettings> Read() override;
  bool HasChanged() override;

private:
  /** Modification time and size in bytes of the file; both zero when they cannot be read. */
  struct Stamp
  {
    std::filesystem::file_time_type mModifiedAt{};
    std::uintmax_t mSize = 0;
    bool operator==(const Stamp&) const = default;
  };

  Stamp CurrentStamp() const;

  std::string mFile;
  std::ostream& mErrors;
  Stamp mLastReadStamp; /**< Of the file at the last Read. */
};

/** Returns whether the text of a settings file is for a relay rather than for `serve`. */
bool IsRelaySettingsText(const std::string& aText);

} // namespace skylarkchute
