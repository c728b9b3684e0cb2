#include "SettingsFile.h"

#include <fstream>
#include <iterator>
#include <ostream>
#include <unistd.h>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

leaf::result<std::string> ReadText(const std::string& aFile)
{
  std::ifstream in(aFile, std::ios::binary);
  if (!in) {
    return leaf::new_error(Faults{ { { "", "", "cannot be read" } } });
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace

std::optional<Settings> ReadSettingsFile(const std::string& aFile,
                                         const std::vector<std::string>& aOverrides,
                                         std::ostream& aErrors)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<Settings>> {
      BOOST_LEAF_AUTO(text, ReadText(aFile));
      BOOST_LEAF_AUTO(document, IniDocument::Parse(text));
      auto overrides = EnvironmentOverrides(environ);
      for (const auto& it : aOverrides) {
        BOOST_LEAF_AUTO(parsed, ParseOverride(it));
        overrides.push_back(parsed);
      }
      BOOST_LEAF_AUTO(settings, ParseSettings(document, overrides));
      return std::optional<Settings>(settings);
    },
    [&](const Faults& aFaults) {
      for (const auto& it : aFaults.mFaults) {
        aErrors << aFile << ": " << it.Text() << "\n";
      }
      return std::optional<Settings>();
    },
    [&] {
      aErrors << aFile << ": cannot be read\n";
      return std::optional<Settings>();
    });
}

bool IsSettingsText(const std::string& aText)
{
  return aText.find("[instance]") != std::string::npos;
}

} // namespace skylarkchute
