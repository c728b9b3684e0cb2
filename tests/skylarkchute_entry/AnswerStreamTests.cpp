#include <skylarkchute_endpoints/skylarkchute_endpoints.h>
#include <skylarkchute_entry/skylarkchute_entry.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <json/json.h>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

const AttemptId kFirstAttempt("r.1");
const AttemptId kSecondAttempt("r.2");

StreamChunk Content(std::uint64_t aNumber, const std::string& aText)
{
  return { aNumber,
           R"({"id":"x","choices":[{"index":0,"delta":{"content":")" + aText + R"("}}]})",
           aText,
           false,
           false };
}

StreamChunk Role()
{
  return { 1, R"({"choices":[{"index":0,"delta":{"role":"assistant"}}]})", "", false, false };
}

StreamChunk Finish(std::uint64_t aNumber)
{
  return {
    aNumber, R"({"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})", "", false, true
  };
}

/** Collects the answer that a caller assembles from the emitted events. */
struct ReceivedAnswer
{
  std::string mText;
  std::uint64_t mEvents = 0;
  std::uint64_t mRoles = 0;
  std::uint64_t mFinishes = 0;
  bool mAborted = false;

  void Apply(const ChunkAction& aAction)
  {
    mAborted = mAborted || std::holds_alternative<AbortStream>(aAction);
    const auto* event = std::get_if<EmitEvent>(&aAction);
    if (event == nullptr) {
      return;
    }
    CHECK(event->mNumber == ++mEvents);
    Json::Value value;
    REQUIRE(ParseJsonObject(event->mData, value));
    CHECK(value["id"].asString() == "chatcmpl-r");
    const auto& choice = value["choices"][0];
    mText += choice["delta"]["content"].asString();
    mRoles += choice["delta"].isMember("role") ? 1 : 0;
    mFinishes += choice["finish_reason"].isString() ? 1 : 0;
  }
};

/** Returns the chunks of one attempt: role, the text in pieces of random length, finish. */
std::vector<StreamChunk> SplitIntoChunks(const std::string& aText, boost::random::mt19937& aRandom)
{
  boost::random::uniform_int_distribution<std::size_t> size(1, 5);
  std::vector<StreamChunk> chunks{ Role() };
  for (std::size_t n = 0; n < aText.size();) {
    const auto part = aText.substr(n, size(aRandom));
    n += part.size();
    chunks.push_back(Content(chunks.size() + 1, part));
  }
  chunks.push_back(Finish(chunks.size() + 1));
  return chunks;
}

std::vector<std::string> DescribeMessages(CallerSession& aSession)
{
  std::vector<std::string> lines;
  while (const auto message = aSession.Wait(0ms)) {
    if (const auto* event = std::get_if<SendEvent>(&*message)) {
      lines.push_back("event " + std::to_string(event->mNumber));
    } else if (std::holds_alternative<EndStream>(*message)) {
      lines.emplace_back("end");
    } else if (const auto* body = std::get_if<SendBody>(&*message)) {
      lines.push_back("body " + body->mBody);
    } else if (const auto* problem = std::get_if<SendProblem>(&*message)) {
      lines.push_back("problem " + problem->mProblem.mReason);
    }
  }
  return lines;
}

std::shared_ptr<CallerSession> MakeSession()
{
  CallerRequest request;
  request.mFacts.mId = RequestId("r");
  return std::make_shared<CallerSession>(request);
}

} // namespace

TEST_CASE("a restarted attempt with the same text is joined without a seam at any place")
{
  const std::string text = "the quick brown fox jumps over the lazy dog";
  for (std::uint32_t seed = 0; seed < 500; ++seed) {
    boost::random::mt19937 random(seed);
    AnswerStream stream(RequestId("r"));
    ReceivedAnswer caller;
    const auto first = SplitIntoChunks(text, random);
    const auto cut = boost::random::uniform_int_distribution<std::size_t>(0, first.size())(random);
    for (std::size_t n = 0; n < cut; ++n) {
      caller.Apply(stream.ProcessChunk(kFirstAttempt, first[n]));
    }
    for (const auto& it : SplitIntoChunks(text, random)) {
      caller.Apply(stream.ProcessChunk(kSecondAttempt, it));
    }
    REQUIRE_FALSE(caller.mAborted);
    REQUIRE(caller.mText == text);
    REQUIRE(caller.mRoles == 1);
    REQUIRE(caller.mFinishes == 1);
    REQUIRE(stream.IsComplete(kSecondAttempt));
    REQUIRE_FALSE(stream.IsComplete(kFirstAttempt));
  }
}

TEST_CASE("a restarted attempt that differs anywhere in the sent prefix contradicts it")
{
  const std::string text = "the quick brown fox jumps over the lazy dog";
  for (std::uint32_t seed = 0; seed < 500; ++seed) {
    boost::random::mt19937 random(seed);
    auto other = text;
    const auto sent = boost::random::uniform_int_distribution<std::size_t>(1, text.size())(random);
    other[boost::random::uniform_int_distribution<std::size_t>(0, sent - 1)(random)] = '#';
    AnswerStream stream(RequestId("r"));
    ReceivedAnswer caller;
    caller.Apply(stream.ProcessChunk(kFirstAttempt, Content(1, text.substr(0, sent))));
    for (const auto& it : SplitIntoChunks(other, random)) {
      caller.Apply(stream.ProcessChunk(kSecondAttempt, it));
    }
    REQUIRE(caller.mAborted);
    REQUIRE(caller.mText == text.substr(0, sent));
    REQUIRE_FALSE(stream.IsComplete(kSecondAttempt));
  }
}

TEST_CASE("a restarted attempt that ends before the sent prefix does is not whole")
{
  AnswerStream stream(RequestId("r"));
  stream.ProcessChunk(kFirstAttempt, Content(1, "abcdef"));
  CHECK(std::holds_alternative<SkipChunk>(stream.ProcessChunk(kSecondAttempt, Content(1, "abc"))));
  CHECK_FALSE(stream.IsComplete(kSecondAttempt));
  CHECK(std::holds_alternative<AbortStream>(stream.ProcessChunk(kSecondAttempt, Finish(2))));
}

TEST_CASE("late chunks of a superseded attempt are skipped")
{
  AnswerStream stream(RequestId("r"));
  stream.ProcessChunk(kFirstAttempt, Content(1, "ab"));
  stream.ProcessChunk(kSecondAttempt, Content(1, "abc"));
  CHECK(std::holds_alternative<SkipChunk>(stream.ProcessChunk(kFirstAttempt, Content(2, "XX"))));
  CHECK(stream.SentText() == "abc");
}

TEST_CASE("a stream that showed tool calls is not continued by another attempt")
{
  AnswerStream stream(RequestId("r"));
  auto chunk = Content(1, "");
  chunk.mOpaque = true;
  stream.ProcessChunk(kFirstAttempt, chunk);
  CHECK(std::holds_alternative<AbortStream>(stream.ProcessChunk(kSecondAttempt, Content(1, "a"))));
}

TEST_CASE("a session passes on the first end only")
{
  const auto session = MakeSession();
  session->Finish("answer");
  session->EndWithProblem({});
  session->Finish("other");
  session->FinishStream(kFirstAttempt);
  CHECK_FALSE(session->AddChunk(kFirstAttempt, Content(1, "a")));
  CHECK(DescribeMessages(*session) == std::vector<std::string>{ "body answer" });
}

TEST_CASE("a session's stream ends with an error when its attempt is not whole")
{
  const auto session = MakeSession();
  CHECK(session->AddChunk(kFirstAttempt, Content(1, "abc")));
  CHECK(session->AddChunk(kSecondAttempt, Content(1, "ab")));
  session->FinishStream(kSecondAttempt);
  CHECK(DescribeMessages(*session) ==
        std::vector<std::string>{ "event 1", "problem answer-interrupted" });
}

TEST_CASE("a session whose stream has begun takes no other version and no whole body")
{
  const auto changed = MakeSession();
  AnswerHead head;
  head.mVersion = VersionId("small/1");
  changed->BeginAnswer(head);
  changed->AddChunk(kFirstAttempt, Content(1, "abc"));
  head.mVersion = VersionId("small/2");
  changed->BeginAnswer(head);
  CHECK(changed->HasEnded());
  CHECK(DescribeMessages(*changed) ==
        std::vector<std::string>{ "event 1", "problem answer-interrupted" });

  const auto whole = MakeSession();
  whole->AddChunk(kFirstAttempt, Content(1, "abc"));
  whole->Finish("answer");
  CHECK(DescribeMessages(*whole) ==
        std::vector<std::string>{ "event 1", "problem answer-interrupted" });
}

TEST_CASE("a session whose caller takes nothing holds a bounded number of bytes")
{
  const auto session = MakeSession();
  const std::string text(1024, 'x');
  std::uint64_t taken = 0;
  while (taken < 100'000 && session->AddChunk(kFirstAttempt, Content(taken + 1, text))) {
    ++taken;
  }
  CHECK(taken < 9 * 1024);
  CHECK(session->HasCallerLeft());
}
