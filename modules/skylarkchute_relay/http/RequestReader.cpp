#include "RequestReader.h"

#include "ParserFeed.h"

#include <algorithm>

namespace skylarkchute {

namespace http = boost::beast::http;

RequestReader::RequestReader(std::uint32_t aMaxHeadBytes,
                             std::uint32_t aMaxBodyBytes,
                             std::uint32_t aMaxLines)
  : mMaxLines(aMaxLines)
  , mParser(std::make_unique<LineLimitedParser>(aMaxLines))
{
  mParser->eager(true);
  mParser->header_limit(aMaxHeadBytes);
  mParser->body_limit(aMaxBodyBytes);
}

std::size_t RequestReader::Feed(std::string_view aBytes)
{
  boost::system::error_code ec;
  const bool hadHead = HasHead();
  const auto taken = FeedParser(*mParser, aBytes, ec);
  if (!hadHead && HasHead()) {
    mHeadBytes = taken - std::min(taken, BodyBytes());
  }
  if (ec == http::error::header_limit) {
    mError = RequestError::HeadTooLarge;
  } else if (ec == http::error::body_limit) {
    mError = RequestError::BodyTooLarge;
  } else if (ec || HasUncertainLength()) {
    mError = RequestError::Malformed;
  }
  return taken;
}

/** Returns whether nothing tells where the body ends (RFC 7230, 3.3.3). */
bool RequestReader::HasUncertainLength() const
{
  return HasHead() && !mParser->get().chunked() &&
         mParser->get().count(http::field::transfer_encoding) > 0;
}

bool RequestReader::ExpectsContinue() const
{
  return boost::beast::iequals(mParser->get()[http::field::expect], "100-continue");
}

std::string RequestReader::Method() const
{
  return std::string(mParser->get().method_string());
}

std::string RequestReader::Target() const
{
  return std::string(mParser->get().target());
}

std::string RequestReader::TakeBody()
{
  std::string body;
  body.swap(mParser->get().body());
  return body;
}

} // namespace skylarkchute
