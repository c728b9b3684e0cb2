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
    mIsMalformed = mIsMalformed || !IsStatusExpected(Status());
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
