#include "Commands.h"

#include <iostream>

namespace skylarkchute {

int RunCommand(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty() || aArguments.front() == "--help") {
    std::cout << "usage: skylarkchute COMMAND [OPTIONS]\n";
    return static_cast<int>(aArguments.empty() ? ExitCode::BadInput : ExitCode::Ok);
  }
  std::cerr << "skylarkchute: unknown command '" << aArguments.front() << "'\n";
  return static_cast<int>(ExitCode::BadInput);
}

} // namespace skylarkchute
