#include "LoopGuard.h"

#include <exception>

namespace skylarkchute {

void RunLoop(boost::asio::io_context& aLoop,
             const std::function<void(const std::string&)>& aOnFailure)
{
  while (true) {
    try {
      aLoop.run();
      return;
    } catch (const std::exception& error) {
      aOnFailure(error.what());
    }
  }
}

} // namespace skylarkchute
