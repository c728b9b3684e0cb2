#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace skylarkchute {

/** Why a request could not be parsed. */
enum class RequestError
{
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

/** Parses one HTTP request incrementally, including the body. Does no I/O. */
class RequestReader
{
public:
  RequestReader(std::uint32_t aMaxHeadBytes, std::uint32_t aMaxBodyBytes);

  /** Parses further bytes.
      @returns the number of bytes consumed */
  std::size_t Feed(std::string_view aBytes);

  RequestError Error() const { return mError; }
  bool HasHead() const { return mParser->is_header_done(); }
  bool IsDone() const { return mParser->is_done(); }
  bool IsKeepAlive() const { return mParser->get().keep_alive(); }

  /** Returns whether the request has `Expect: 100-continue`, so that the caller waits for a 100
      status before it sends the body. */
  bool ExpectsContinue() const;

  std::string Method() const;
  std::string Target() const;
  const boost::beast::http::fields& Fields() const { return mParser->get(); }

  /** Returns the body and removes it from the reader. */
  std::string TakeBody();

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  bool HasUncertainLength() const;

  std::unique_ptr<Parser> mParser;
  RequestError mError = RequestError::None;
};

} // namespace skylarkchute
