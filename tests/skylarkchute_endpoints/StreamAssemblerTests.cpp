#include <skylarkchute_endpoints/skylarkchute_endpoints.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

using namespace skylarkchute;

namespace {

const AttemptId kAttempt("request-1.1");

std::string Event(std::uint64_t aNumber, const std::string& aText, const std::string& aId)
{
  return "id: " + std::to_string(aNumber) + "\ndata: {\"id\":\"" + aId +
         R"(","choices":[{"index":0,"delta":{"content":")" + aText + "\"}}]}\n\n";
}

std::string Event(std::uint64_t aNumber, const std::string& aText)
{
  return Event(aNumber, aText, "chatcmpl-request-1.1");
}

std::string TextOf(const std::vector<StreamChunk>& aChunks)
{
  std::string text;
  for (const auto& it : aChunks) {
    text += it.mText;
  }
  return text;
}

} // namespace

TEST_CASE("a stream is whole whatever way its bytes are split")
{
  const auto bytes =
    Event(1, "a") + ": comment\n\n" + Event(2, "b") + Event(3, "c") + "data: [DONE]\r\n\r\n";
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    boost::random::mt19937 random(seed);
    boost::random::uniform_int_distribution<std::size_t> size(1, 40);
    StreamAssembler assembler(kAttempt);
    std::string text;
    for (std::size_t n = 0; n < bytes.size();) {
      const auto part = bytes.substr(n, size(random));
      n += part.size();
      text += TextOf(assembler.Feed(part));
    }
    REQUIRE(text == "abc");
    REQUIRE(assembler.State() == StreamState::Complete);
  }
}

TEST_CASE("duplicated, foreign and late chunks are dropped and counted")
{
  StreamAssembler assembler(kAttempt);
  auto text = TextOf(assembler.Feed(Event(1, "a") + Event(1, "a") + Event(2, "x", "other.1")));
  text += TextOf(assembler.Feed(Event(2, "b") + "data: [DONE]\n\n" + Event(3, "late")));
  CHECK(text == "ab");
  CHECK(assembler.State() == StreamState::Complete);
  CHECK(assembler.Dropped().mDuplicate == 1);
  CHECK(assembler.Dropped().mForeign == 1);
  CHECK(assembler.Dropped().mLate == 1);
}

TEST_CASE("a missing chunk breaks the stream and a resume asks for what is missing")
{
  StreamAssembler assembler(kAttempt);
  CHECK(TextOf(assembler.Feed(Event(1, "a") + Event(3, "c"))) == "a");
  CHECK(assembler.State() == StreamState::Broken);
  CHECK(assembler.LastNumber() == 1);
  assembler.Resume();
  CHECK(TextOf(assembler.Feed(Event(2, "b") + Event(3, "c") + "id: 4\ndata: [DONE]\n\n")) == "bc");
  CHECK(assembler.State() == StreamState::Complete);
}

TEST_CASE("a stream without its terminator is never complete")
{
  StreamAssembler assembler(kAttempt);
  assembler.Feed(Event(1, "a") + "data: [DONE]\n");
  assembler.OnConnectionEnd();
  CHECK(assembler.State() == StreamState::Broken);

  StreamAssembler empty(kAttempt);
  empty.Feed("data: [DONE]\n\n");
  CHECK(empty.State() == StreamState::Broken);

  StreamAssembler gap(kAttempt);
  gap.Feed(Event(1, "a") + "id: 3\ndata: [DONE]\n\n");
  CHECK(gap.State() == StreamState::Broken);
}

TEST_CASE("events without a number, with invalid JSON or over the size limit are malformed")
{
  const std::vector<std::string> malformed{ "data: {}\n\n",
                                            "id: x\ndata: {}\n\n",
                                            "id: 1\ndata: nonsense\n\n",
                                            "id: 1\ndata: " + std::string(2 << 20, 'x') };
  for (const auto& bytes : malformed) {
    StreamAssembler assembler(kAttempt);
    assembler.Feed(bytes);
    CHECK(assembler.State() == StreamState::Malformed);
  }
}

TEST_CASE("an error event fails the stream")
{
  StreamAssembler assembler(kAttempt);
  assembler.Feed(Event(1, "a") + "event: error\ndata: {}\n\n" + Event(2, "b"));
  CHECK(assembler.State() == StreamState::Failed);
  CHECK(assembler.LastNumber() == 1);
}

TEST_CASE("chunks with tool calls or further choices are marked opaque")
{
  StreamAssembler assembler(kAttempt);
  const auto chunks =
    assembler.Feed("id: 1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{}]}}]}\n\n"
                   "id: 2\ndata: {\"choices\":[{\"index\":1,\"delta\":{\"content\":\"b\"}}]}\n\n"
                   "id: 3\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"c\"}}]}\n\n");
  REQUIRE(chunks.size() == 3);
  CHECK(chunks[0].mOpaque);
  CHECK(chunks[1].mOpaque);
  CHECK(chunks[1].mText.empty());
  CHECK_FALSE(chunks[2].mOpaque);
}
