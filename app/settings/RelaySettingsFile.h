#pragma once

#include <skylarkchute_relay/skylarkchute_relay.h>

#include <filesystem>
#include <iosfwd>
#include <optional>
#include <string>

namespace skylarkchute {

/** Reads and checks a relay's settings file.
    @returns nothing after writing every fault to @p aErrors */
std::optional<RelaySettings> ReadRelaySettingsFile(const std::string& aFile, std::ostream& aErrors);

/** The settings file of a running relay. */
class RelaySettingsFile final : public SettingsSource
{
public:
  /** @param aErrors  gets the faults of a file that is not valid */
  RelaySettingsFile(std::string aFile, std::ostream& aErrors);

  std::optional<RelaySettings> Read() override;
  bool HasChanged() override;

private:
  /** Time of the last change and size; both zero when the file cannot be looked at. */
  struct Stamp
  {
    std::filesystem::file_time_type mChanged{};
    std::uintmax_t mSize = 0;
    bool operator==(const Stamp&) const = default;
  };

  Stamp CurrentStamp() const;

  std::string mFile;
  std::ostream& mErrors;
  Stamp mRead; /**< Of the file when it was read last. */
};

/** Returns whether the text of a settings file is for a relay rather than for `serve`. */
bool IsRelaySettingsText(const std::string& aText);

} // namespace skylarkchute
