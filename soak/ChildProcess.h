#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace skylarkchute::soak {

/** A program that this process started. It is killed by the destructor if it still runs. */
class ChildProcess
{
public:
  /** Starts a program; its output is appended to @p aLogFile.
      @throws std::system_error  if it cannot be started */
  ChildProcess(const std::vector<std::string>& aCommand, const std::string& aLogFile);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /** Sends a signal, unless the program has ended. */
  void Signal(int aSignal);

  /** Returns the wait status once the program has ended. Does not wait. */
  std::optional<int> WaitStatus();

  pid_t Id() const { return mId; }

private:
  pid_t mId = 0;
  std::optional<int> mStatus;
};

} // namespace skylarkchute::soak
