#pragma once

#include "ReceivedBody.h"

#include <boost/beast/http/parser.hpp>

#include <cstdint>

namespace skylarkchute {

/** Request parser that refuses more than a number of header lines, including those of a trailer.
    Each line takes an allocation many times as large as the shortest line. */
class LineLimitedParser final : public boost::beast::http::request_parser<ReceivedBody>
{
public:
  explicit LineLimitedParser(std::uint32_t aMaxLines) : mMaxLines(aMaxLines) {}

  std::uint32_t Lines() const { return mLines; }

private:
  void on_field_impl(boost::beast::http::field aField,
                     boost::beast::string_view aName,
                     boost::beast::string_view aValue,
                     boost::system::error_code& aError) override
  {
    if (++mLines > mMaxLines) {
      aError = boost::beast::http::error::header_limit;
      return;
    }
    get().insert(aField, aName, aValue);
  }

  std::uint32_t mMaxLines;
  std::uint32_t mLines = 0;
};

} // namespace skylarkchute
