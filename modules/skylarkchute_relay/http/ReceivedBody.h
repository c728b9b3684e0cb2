#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace skylarkchute {

/** Body type for Boost.Beast parsers. Unlike http::string_body, it allocates only for bytes that
    have arrived, whatever length the head states. */
struct ReceivedBody
{
  // Boost.Beast prescribes the names.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  class reader
  {
  public:
    template<bool isRequest, typename Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*aHead*/, std::string& aBody)
      : mBody(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& /*aLength*/, boost::system::error_code& aError)
    {
      aError = {};
    }

    template<typename Buffers>
    std::size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      aError = {};
      std::size_t count = 0;
      for (const auto it : boost::beast::buffers_range_ref(aBuffers)) {
        mBody.append(static_cast<const char*>(it.data()), it.size());
        count += it.size();
      }
      return count;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    std::string& mBody;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace skylarkchute
