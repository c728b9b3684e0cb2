#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace skylarkchute {

/** Reads one HTTP answer incrementally. Free of I/O. */
class AnswerReader
{
public:
  /** @param aHasNoBody  the request was HEAD: its answer ends with the head, whatever that says */
  explicit AnswerReader(bool aHasNoBody);

  /** Reads on.
      @returns the bytes taken; the caller presents the rest again with what follows them */
  std::size_t Feed(std::string_view aBytes);

  /** Notes that the connection was closed in order, which ends a body without a length. */
  void FeedEnd();

  /** Returns whether the bytes are no HTTP answer. */
  bool IsBroken() const { return mIsBroken; }
  bool HasHead() const { return mParser->is_header_done(); }
  bool IsDone() const { return mParser->is_done(); }

  /** Returns whether the connection may carry another request after this answer. */
  bool KeepsConnection() const { return !mParser->need_eof() && mParser->get().keep_alive(); }

  unsigned Status() const { return mParser->get().result_int(); }
  const boost::beast::http::fields& Fields() const { return mParser->get(); }

  /** Returns the part of the body read since the last call. */
  std::string TakeBody();

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  std::unique_ptr<Parser> mParser;
  bool mIsBroken = false;
};

} // namespace skylarkchute
