#pragma once

#include <string>
#include <vector>

namespace skylarkchute {

/** Exit codes of the command line. */
enum class ExitCode
{
  Ok = 0,
  Failed = 1, /**< The command was understood but did not succeed. */
  BadInput = 2,
};

/** Runs the subcommand named by the first argument and returns its exit code. */
int RunCommand(const std::vector<std::string>& aArguments);

} // namespace skylarkchute
