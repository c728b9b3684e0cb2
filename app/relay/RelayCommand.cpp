#include "RelayCommand.h"

#include "../Commands.h"
#include "../bundles/OperatorText.h"

#include <boost/program_options.hpp>
#include <skylarkchute_relay/skylarkchute_relay.h>

#include <ostream>

namespace skylarkchute {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

/** Bytes of the random part of an incarnation. */
constexpr std::size_t kIncarnationBytes = 8;

std::optional<RelaySettings> ReadRelaySettings(const std::string& aFile, std::ostream& aErrors)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    aErrors << "skylarkchute relay: " << aFile << " cannot be read\n";
    return std::nullopt;
  }
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<RelaySettings>> {
      BOOST_LEAF_AUTO(document, IniDocument::Parse(*text));
      BOOST_LEAF_AUTO(settings, ParseRelaySettings(document));
      return std::optional<RelaySettings>(settings);
    },
    [&](const Faults& aFaults) {
      aErrors << aFile << ": " << aFaults.Text();
      return std::optional<RelaySettings>();
    },
    [&] {
      aErrors << aFile << ": not readable as settings\n";
      return std::optional<RelaySettings>();
    });
}

} // namespace

int RunRelayCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors)
{
  std::string file;
  bool checksOnly = false;
  options::options_description description("skylarkchute relay");
  auto add = description.add_options();
  add("help", "show this text");
  add("settings", options::value(&file)->required(), "settings file, see docs/SETTINGS.md");
  add("check", options::bool_switch(&checksOnly), "check the settings and end");
  options::variables_map values;
  options::store(options::command_line_parser(aArguments).options(description).run(), values);
  if (values.count("help") > 0) {
    aOut << description;
    return static_cast<int>(ExitCode::Ok);
  }
  options::notify(values);
  const auto read = [&] { return ReadRelaySettings(file, aErrors); };
  const auto settings = read();
  if (!settings) {
    return static_cast<int>(ExitCode::BadInput);
  }
  if (checksOnly) {
    aOut << file << ": settings are valid\n";
    return static_cast<int>(ExitCode::Ok);
  }
  RelayRuntime runtime(*settings, SecureRandomHex(kIncarnationBytes), read);
  if (!runtime.Run()) {
    aErrors << "skylarkchute relay: an address of [listen] cannot be listened on\n";
    return static_cast<int>(ExitCode::Failed);
  }
  return static_cast<int>(ExitCode::Ok);
}

} // namespace skylarkchute
