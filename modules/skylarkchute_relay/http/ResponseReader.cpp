#include "ResponseReader.h"

#include "ParserFeed.h"

namespace skylarkchute {

namespace {

constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;

/** Returns whether a status may be that of an answer, interim ones included (RFC 9110, 15). No
    request asks to switch protocols. */
bool IsStatusExpected(unsigned aStatus)
{
  constexpr unsigned kFirstStatus = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kLastStatus = 599;
  return aStatus >= kFirstStatus && aStatus <= kLastStatus && aStatus != kSwitchingProtocols;
}

/** Returns whether a line of the head that the bytes begin with continues the one before it
    (obs-fold, RFC 9112, 5.2). Nothing distinguishes it from a field whose name begins with a blank.
  */
bool HasFoldedLine(std::string_view aBytes)
{
  const auto head = aBytes.substr(0, aBytes.find("\r\n\r\n"));
  return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

} // namespace

ResponseReader::ResponseReader(bool aIsHeadRequest) : mParser(std::make_unique<Parser>())
{
  mParser->skip(aIsHeadRequest);
  mParser->eager(true);
  mParser->body_limit(boost::none);
  mParser->header_limit(kMaxHeadBytes);
}

std::size_t ResponseReader::Feed(std::string_view aBytes)
{
  boost::system::error_code ec;
  const bool hadHead = HasHead();
  const auto taken = FeedParser(*mParser, aBytes, ec);
  mIsMalformed = mIsMalformed || ec;
  if (!hadHead && HasHead()) {
    // The parser takes a head only as a whole.
    mIsMalformed = mIsMalformed || !IsStatusExpected(Status()) || HasFoldedLine(aBytes);
  }
  return taken;
}

void ResponseReader::FeedEof()
{
  boost::system::error_code ec;
  mParser->put_eof(ec);
  mIsMalformed = mIsMalformed || ec;
}

std::string ResponseReader::TakeBody()
{
  std::string body;
  body.swap(mParser->get().body());
  return body;
}

} // namespace skylarkchute
