#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace skylarkchute {

/** Why a request could not be read. */
enum class RequestFault
{
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

/** Reads one HTTP request incrementally, body included. Free of I/O. */
class RequestReader
{
public:
  RequestReader(std::uint32_t aMostHeadBytes, std::uint32_t aMostBodyBytes);

  /** Reads on. @returns the bytes taken */
  std::size_t Feed(std::string_view aBytes);

  RequestFault Fault() const { return mFault; }
  bool HasHead() const { return mParser->is_header_done(); }
  bool IsDone() const { return mParser->is_done(); }
  bool KeepsConnection() const { return mParser->get().keep_alive(); }

  /** Returns whether the caller waits for leave to send the body. */
  bool ExpectsContinue() const;

  std::string Method() const;
  std::string Target() const;
  const boost::beast::http::fields& Fields() const { return mParser->get(); }

  /** Returns the body and leaves the reader without it. */
  std::string TakeBody();

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  std::unique_ptr<Parser> mParser;
  RequestFault mFault = RequestFault::None;
};

} // namespace skylarkchute
