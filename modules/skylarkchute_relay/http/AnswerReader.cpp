#include "AnswerReader.h"

#include "ParserFeed.h"

namespace skylarkchute {

namespace {

constexpr std::uint32_t kMostHeadBytes = 64 * 1024;

} // namespace

AnswerReader::AnswerReader(bool aHasNoBody) : mParser(std::make_unique<Parser>())
{
  mParser->skip(aHasNoBody);
  mParser->eager(true);
  mParser->body_limit(boost::none);
  mParser->header_limit(kMostHeadBytes);
}

std::size_t AnswerReader::Feed(std::string_view aBytes)
{
  boost::system::error_code ec;
  const auto taken = FeedParser(*mParser, aBytes, ec);
  mIsBroken = mIsBroken || ec;
  return taken;
}

void AnswerReader::FeedEnd()
{
  boost::system::error_code ec;
  mParser->put_eof(ec);
  mIsBroken = mIsBroken || ec;
}

std::string AnswerReader::TakeBody()
{
  std::string body;
  body.swap(mParser->get().body());
  return body;
}

} // namespace skylarkchute
