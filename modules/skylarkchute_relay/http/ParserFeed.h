#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <string_view>

namespace skylarkchute {

/** Feeds bytes to a Boost.Beast parser until it needs more or the message is complete.
    @param aError  set when the bytes are not a valid message or exceed a limit of the parser
    @returns the number of bytes consumed */
template<typename Parser>
std::size_t FeedParser(Parser& aParser, std::string_view aBytes, boost::system::error_code& aError)
{
  std::size_t taken = 0;
  while (taken < aBytes.size() && !aParser.is_done()) {
    const auto rest = aBytes.substr(taken);
    const auto count = aParser.put(boost::asio::buffer(rest.data(), rest.size()), aError);
    taken += count;
    if (aError == boost::beast::http::error::need_more) {
      aError = {};
      break;
    }
    if (aError || count == 0) {
      break;
    }
  }
  return taken;
}

} // namespace skylarkchute
