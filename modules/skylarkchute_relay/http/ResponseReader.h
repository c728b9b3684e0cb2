#pragma once

#include "ReceivedBody.h"

#include <boost/beast/http/parser.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace skylarkchute {

/** Parses one HTTP response incrementally. Does no I/O. */
class ResponseReader
{
public:
  /** @param aIsHeadRequest  whether the request method was HEAD; the response then has no body,
                             whatever length its head states */
  explicit ResponseReader(bool aIsHeadRequest);

  /** Parses further bytes.
      @returns the number of bytes consumed; pass the rest again, followed by the next bytes */
  std::size_t Feed(std::string_view aBytes);

  /** Signals that the peer closed the connection cleanly, which ends a body without a length. */
  void FeedEof();

  /** Returns whether the bytes are not a valid HTTP response, or one with a status outside 100 to
      599, with 101 or with folded field lines. */
  bool IsMalformed() const { return mIsMalformed; }
  bool HasHead() const { return mParser->is_header_done(); }
  bool IsDone() const { return mParser->is_done(); }

  /** Returns whether the connection may carry another request after this response. */
  bool IsKeepAlive() const { return !mParser->need_eof() && mParser->get().keep_alive(); }

  /** Returns whether the body has neither a length nor chunks and ends with the connection. */
  bool EndsWithConnection() const { return mParser->need_eof(); }

  unsigned Status() const { return mParser->get().result_int(); }
  const boost::beast::http::fields& Fields() const { return mParser->get(); }

  /** Returns the part of the body that was read since the last call, and removes it from the
      reader. */
  std::string TakeBody();

private:
  using Parser = boost::beast::http::response_parser<ReceivedBody>;

  std::unique_ptr<Parser> mParser;
  bool mIsMalformed = false;
};

} // namespace skylarkchute
