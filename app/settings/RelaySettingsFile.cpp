#include "RelaySettingsFile.h"

#include "../bundles/CommandSupport.h"

#include <ostream>

namespace skylarkchute {

namespace leaf = boost::leaf;

std::optional<RelaySettings> ReadRelaySettingsFile(const std::string& aFile, std::ostream& aErrors)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    aErrors << aFile << ": cannot be read\n";
    return std::nullopt;
  }
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<RelaySettings>> {
      BOOST_LEAF_AUTO(document, IniDocument::Parse(*text));
      BOOST_LEAF_AUTO(settings, ParseRelaySettings(document));
      return std::optional<RelaySettings>(settings);
    },
    [&](const Faults& aFaults) {
      for (const auto& it : aFaults.mFaults) {
        aErrors << aFile << ": " << it.Text() << "\n";
      }
      return std::optional<RelaySettings>();
    },
    [&] {
      aErrors << aFile << ": cannot be parsed as settings\n";
      return std::optional<RelaySettings>();
    });
}

RelaySettingsFile::RelaySettingsFile(std::string aFile, std::ostream& aErrors)
  : mFile(std::move(aFile))
  , mErrors(aErrors)
{
}

std::optional<RelaySettings> RelaySettingsFile::Read()
{
  // The stamp is read before the text, so that HasChanged finds a change made in between.
  mLastReadStamp = CurrentStamp();
  return ReadRelaySettingsFile(mFile, mErrors);
}

bool RelaySettingsFile::HasChanged()
{
  return CurrentStamp() != mLastReadStamp;
}

RelaySettingsFile::Stamp RelaySettingsFile::CurrentStamp() const
{
  std::error_code ec;
  Stamp stamp;
  stamp.mModifiedAt = std::filesystem::last_write_time(mFile, ec);
  stamp.mSize = ec ? 0 : std::filesystem::file_size(mFile, ec);
  return ec ? Stamp{} : stamp;
}

bool IsRelaySettingsText(const std::string& aText)
{
  return aText.find("[listen]") != std::string::npos;
}

} // namespace skylarkchute
