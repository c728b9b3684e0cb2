#include "ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace skylarkchute::soak {

namespace {

constexpr mode_t kLogFileMode = 0644;

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand, const std::string& aLogFile)
{
  std::vector<std::string> command = aCommand;
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (auto& it : command) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  // The socket library ignores SIGPIPE in this process, which a child would inherit.
  sigset_t defaults;
  sigemptyset(&defaults);
  sigaddset(&defaults, SIGPIPE);
  posix_spawnattr_setsigdefault(&attributes, &defaults);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
  const auto error =
    posix_spawn(&mId, arguments.front(), &actions, &attributes, arguments.data(), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), command.front());
  }
}

ChildProcess::~ChildProcess()
{
  if (WaitStatus()) {
    return;
  }
  kill(mId, SIGKILL);
  int status = 0;
  waitpid(mId, &status, 0);
}

void ChildProcess::Signal(int aSignal)
{
  // An ended program that was not waited for keeps its id, so that no other one is hit.
  if (!mStatus) {
    kill(mId, aSignal);
  }
}

std::optional<int> ChildProcess::WaitStatus()
{
  int status = 0;
  if (!mStatus && waitpid(mId, &status, WNOHANG) == mId) {
    mStatus = status;
  }
  return mStatus;
}

} // namespace skylarkchute::soak
