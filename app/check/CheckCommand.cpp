#include "CheckCommand.h"

#include "../Commands.h"
#include "../bundles/CheckBundle.h"
#include "../bundles/CommandSupport.h"
#include "../settings/RelaySettingsFile.h"
#include "../settings/SettingsFile.h"

#include <ostream>

namespace skylarkchute {

namespace {

bool IsValid(const std::string& aFile, std::ostream& aOut, std::ostream& aErrors)
{
  const auto text = ReadFile(aFile);
  if (!text || !IsSettingsText(*text)) {
    return RunCheckBundle({ aFile }, aOut, aErrors) == static_cast<int>(ExitCode::Ok);
  }
  const bool isValid = IsRelaySettingsText(*text)
                         ? ReadRelaySettingsFile(aFile, aErrors).has_value()
                         : ReadSettingsFile(aFile, {}, aErrors).has_value();
  if (!isValid) {
    return false;
  }
  aOut << aFile << ": settings are valid\n";
  return true;
}

} // namespace

int RunCheckCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors)
{
  if (aArguments.empty() || aArguments.front() == "--help") {
    aOut
      << "usage: skylarkchute check FILE...\nValidates bundles and settings of serve and relay.\n";
    return static_cast<int>(aArguments.empty() ? ExitCode::BadInput : ExitCode::Ok);
  }
  bool valid = true;
  for (const auto& it : aArguments) {
    valid = IsValid(it, aOut, aErrors) && valid;
  }
  return static_cast<int>(valid ? ExitCode::Ok : ExitCode::BadInput);
}

} // namespace skylarkchute
