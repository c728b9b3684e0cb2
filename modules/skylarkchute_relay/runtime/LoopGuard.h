#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace skylarkchute {

/** Runs an event loop until it is stopped or has no more work. An exception that leaves a handler
   is reported, and the loop goes on: one message that cannot be handled must not end the requests
   of all callers.
    @param aOnFailure  receives what the exception says */
void RunLoop(boost::asio::io_context& aLoop,
             const std::function<void(const std::string&)>& aOnFailure);

} // namespace skylarkchute
