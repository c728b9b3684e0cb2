#include "ServeCommand.h"

#include "../Commands.h"
#include "../settings/SettingsFile.h"
#include "ServeRuntime.h"

#include <Poco/Exception.h>
#include <boost/program_options.hpp>

#include <csignal>
#ifdef __GLIBC__
#include <malloc.h>
#endif
#include <ostream>
#include <pthread.h>

namespace skylarkchute {

namespace options = boost::program_options;

namespace {

/** Makes the allocator give freed bodies back to the system. By default each connection's thread
    may keep an arena with the largest body that it has read. */
void LimitKeptMemory()
{
#ifdef __GLIBC__
  constexpr int kMapThresholdBytes = 128 * 1024;
  constexpr int kArenas = 2;
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_ARENA_MAX, kArenas);
#endif
}

/** Blocks SIGTERM and SIGINT in this thread and in the threads that it starts. */
sigset_t BlockTerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

ExitCode Serve(const Settings& aSettings, std::ostream& aOut)
{
  const auto signals = BlockTerminationSignals();
  ServeRuntime runtime(aSettings);
  aOut << "listening " << aSettings.mInstance.mAddress << ":" << runtime.CallerPort() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  return runtime.Stop() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace

int RunServeCommand(const std::vector<std::string>& aArguments,
                    std::ostream& aOut,
                    std::ostream& aErrors)
{
  LimitKeptMemory();
  std::string file;
  std::vector<std::string> overrides;
  options::options_description description("skylarkchute serve");
  auto add = description.add_options();
  add("help", "show this text");
  add("settings", options::value(&file)->required(), "settings file, see docs/SETTINGS.md");
  add("set",
      options::value(&overrides)->composing(),
      "SECTION.KEY=VALUE, overrides the settings file; repeatable");
  options::variables_map values;
  options::store(options::command_line_parser(aArguments).options(description).run(), values);
  if (values.count("help") > 0) {
    aOut << description;
    return static_cast<int>(ExitCode::Ok);
  }
  options::notify(values);
  const auto settings = ReadSettingsFile(file, overrides, aErrors);
  if (!settings) {
    return static_cast<int>(ExitCode::BadInput);
  }
  try {
    return static_cast<int>(Serve(*settings, aOut));
  } catch (const Poco::Exception& error) {
    aErrors << "skylarkchute serve: " << error.displayText() << "\n";
    return static_cast<int>(ExitCode::Failed);
  }
}

} // namespace skylarkchute
