#include "RelayCommand.h"

#include "../Commands.h"
#include "../settings/RelaySettingsFile.h"

#include <boost/program_options.hpp>
#include <skylarkchute_relay/skylarkchute_relay.h>

#include <csignal>
#include <ostream>

namespace skylarkchute {

namespace options = boost::program_options;

namespace {

/** Length in bytes of the random part of an incarnation id. */
constexpr std::size_t kIncarnationBytes = 8;

/** Holds SIGHUP, which ends a process by default, back until RelayRuntime handles it. */
void BlockHangup()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

int RunRelayCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors)
{
  BlockHangup();
  std::string file;
  bool checksOnly = false;
  options::options_description description("skylarkchute relay");
  auto add = description.add_options();
  add("help", "show this text");
  add("settings", options::value(&file)->required(), "settings file, see docs/SETTINGS.md");
  add("check", options::bool_switch(&checksOnly), "check the settings and exit");
  options::variables_map values;
  options::store(options::command_line_parser(aArguments).options(description).run(), values);
  if (values.count("help") > 0) {
    aOut << description;
    return static_cast<int>(ExitCode::Ok);
  }
  options::notify(values);
  RelaySettingsFile source(file, aErrors);
  const auto settings = source.Read();
  if (!settings) {
    return static_cast<int>(ExitCode::BadInput);
  }
  if (checksOnly) {
    aOut << file << ": settings are valid\n";
    return static_cast<int>(ExitCode::Ok);
  }
  RelayRuntime runtime(*settings, SecureRandomHex(kIncarnationBytes), source);
  if (!runtime.Run()) {
    aErrors << "skylarkchute relay: cannot bind an address of section [listen]\n";
    return static_cast<int>(ExitCode::Failed);
  }
  return static_cast<int>(ExitCode::Ok);
}

} // namespace skylarkchute
