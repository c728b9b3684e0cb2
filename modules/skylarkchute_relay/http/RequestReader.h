#pragma once

#include "LineLimitedParser.h"

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
  /** @param aMaxLines  header lines, including those of a trailer */
  RequestReader(std::uint32_t aMaxHeadBytes,
                std::uint32_t aMaxBodyBytes,
                std::uint32_t aMaxLines = kNoLineLimit);

  /** Parses further bytes.
      @returns the number of bytes consumed */
  std::size_t Feed(std::string_view aBytes);

  /** Returns whether the request was refused for the number of its header lines. */
  bool HasTooManyLines() const { return mParser->Lines() > mMaxLines; }

  /** Returns the bytes of the body that have arrived and are still in the reader. */
  std::size_t BodyBytes() const { return mParser->get().body().size(); }

  /** Returns about how much memory the head takes, in bytes. */
  std::size_t HeadBytes() const { return mHeadBytes + mParser->Lines() * kLineBytes; }

  /** Returns how much of the body is missing, zero when the head does not state its length. */
  std::uint64_t BodyBytesLeft() const
  {
    return mParser->content_length() ? mParser->content_length_remaining().value_or(0) : 0;
  }

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
  static constexpr std::uint32_t kNoLineLimit = 100000;

  /** Memory of a header line beside its text: node, links and the allocator's own. */
  static constexpr std::size_t kLineBytes = 96;

  bool HasUncertainLength() const;

  std::uint32_t mMaxLines;
  std::unique_ptr<LineLimitedParser> mParser;
  std::size_t mHeadBytes = 0;
  RequestError mError = RequestError::None;
};

} // namespace skylarkchute
