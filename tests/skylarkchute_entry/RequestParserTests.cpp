#include <skylarkchute_entry/skylarkchute_entry.h>

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1h };

RawRequest Chat(const std::string& aBody)
{
  RawRequest raw;
  raw.mMethod = "POST";
  raw.mUri = "/v1/chat/completions";
  raw.mHeaders.mAuthorization = "Bearer team-key";
  raw.mBody = aBody;
  return raw;
}

RawRequest ValidChat()
{
  return Chat(R"({"model":"auto","messages":[{"role":"user","content":"hi"}]})");
}

std::string ReasonOf(const ParsedRequest& aParsed)
{
  const auto* problem = std::get_if<ProblemReply>(&aParsed);
  if (problem == nullptr) {
    return "accepted";
  }
  CHECK(problem->mVerdict == Verdict::NotRun);
  return problem->mReason;
}

ParsedRequest ParseChat(RawRequest aRaw)
{
  return RequestParser({}).ParseChat(std::move(aRaw), RequestId("r1"), kNow);
}

ParsedRequest ParseService(const std::string& aMethod, const std::string& aUri)
{
  auto raw = ValidChat();
  raw.mMethod = aMethod;
  raw.mUri = aUri;
  return RequestParser({}).ParseService(std::move(raw), RequestId("r1"), kNow);
}

CallerRequest Accepted(const ParsedRequest& aParsed)
{
  REQUIRE(ReasonOf(aParsed) == "accepted");
  return std::get<CallerRequest>(aParsed);
}

} // namespace

TEST_CASE("a chat request's headers and body become facts")
{
  auto raw = Chat(R"({"model":"small/2","messages":[{"role":"user","content":"hi"}],)"
                  R"("stream":true,"max_tokens":40})");
  raw.mHeaders.mIdempotencyKey = "order-7";
  raw.mHeaders.mIdempotent = "false";
  raw.mHeaders.mClass = "long-note";
  raw.mHeaders.mSession = "visit-3";
  raw.mHeaders.mTimeoutMs = "1500";
  const auto request = Accepted(ParseChat(raw));
  const auto& facts = request.mFacts;
  CHECK(facts.mApiKey == "team-key");
  CHECK(facts.mVersion == VersionId("small/2"));
  CHECK_FALSE(facts.mModel);
  CHECK(facts.mKey == RequestKey("order-7"));
  CHECK(facts.mHasCallerKey);
  CHECK(facts.mDeclaredNonIdempotent);
  CHECK(facts.mStream);
  CHECK(facts.mMaxTokens == 40);
  CHECK(facts.mClass == ClassName("long-note"));
  CHECK(facts.mDeadline == kNow + 1500ms);
  CHECK(request.mSession == "visit-3");
}

TEST_CASE("a request without a key of its own is known by its request id")
{
  const auto facts = Accepted(ParseChat(ValidChat())).mFacts;
  CHECK(facts.mKey == RequestKey("r1"));
  CHECK_FALSE(facts.mHasCallerKey);
  CHECK_FALSE(facts.mModel);
  CHECK_FALSE(facts.mVersion);
  CHECK(facts.mDeadline == kNow + 60s);
}

TEST_CASE("malformed chat bodies are refused as not run")
{
  const auto body = GENERATE(as<std::string>(),
                             "",
                             "nonsense",
                             "[]",
                             R"({"messages":[{"role":"user"}]} trailing)",
                             "{}",
                             R"({"messages":[]})",
                             R"({"messages":"hi"})",
                             R"({"messages":["hi"]})",
                             R"({"messages":[{"content":"hi"}]})",
                             R"({"messages":[{"role":"user"}],"model":7})",
                             R"({"messages":[{"role":"user"}],"stream":"yes"})",
                             R"({"messages":[{"role":"user"}],"max_tokens":-1})",
                             R"({"messages":[{"role":"user"}],"max_tokens":1.5})");
  CHECK(ReasonOf(ParseChat(Chat(body))) == "bad-body");
}

TEST_CASE("a deeply nested body is refused without exhausting the stack")
{
  const auto deep = R"({"messages":)" + std::string(100'000, '[');
  CHECK(ReasonOf(ParseChat(Chat(deep))) == "bad-body");
}

TEST_CASE("keys other than a bearer key are refused")
{
  const auto header = GENERATE(as<std::string>(),
                               "",
                               "Bearer",
                               "Bearer ",
                               "Basic dGVhbTprZXk=",
                               "Bearer two words",
                               "Bearer \x01",
                               "Bearer " + std::string(600, 'k'));
  auto raw = ValidChat();
  raw.mHeaders.mAuthorization = header;
  CHECK(ReasonOf(ParseChat(raw)) == "missing-key");
}

TEST_CASE("the bearer scheme is read in any case")
{
  CHECK(RequestParser::BearerKey("bearer k") == "k");
  CHECK(RequestParser::BearerKey("BEARER k") == "k");
}

TEST_CASE("bad header values are refused with their own reason")
{
  auto raw = ValidChat();
  raw.mHeaders.mIdempotent = "no";
  CHECK(ReasonOf(ParseChat(raw)) == "bad-idempotent");

  raw = ValidChat();
  raw.mHeaders.mIdempotent = "false";
  CHECK(ReasonOf(ParseChat(raw)) == "missing-idempotency-key");

  raw = ValidChat();
  raw.mHeaders.mIdempotencyKey = std::string(256, 'k');
  CHECK(ReasonOf(ParseChat(raw)) == "bad-idempotency-key");

  raw = ValidChat();
  raw.mHeaders.mClass = "long note";
  CHECK(ReasonOf(ParseChat(raw)) == "bad-class");

  raw = ValidChat();
  raw.mHeaders.mSession = "a\tb";
  CHECK(ReasonOf(ParseChat(raw)) == "bad-session");

  for (const std::string text : { "0", "-5", "1.5", "soon", "99999999999999999999", " 5" }) {
    raw = ValidChat();
    raw.mHeaders.mTimeoutMs = text;
    CHECK(ReasonOf(ParseChat(raw)) == "bad-timeout");
  }
}

TEST_CASE("a timeout beyond the bound is cut to it")
{
  auto raw = ValidChat();
  raw.mHeaders.mTimeoutMs = "9000000000000";
  CHECK(Accepted(ParseChat(raw)).mFacts.mDeadline == kNow + 600s);
}

TEST_CASE("a service request keeps its method, path and query")
{
  const auto request = Accepted(ParseService("DELETE", "/services/booking/slots/7?owner=9"));
  CHECK(request.mFacts.mService == ServiceName("booking"));
  CHECK(request.mMethod == "DELETE");
  CHECK(request.mEndpointPath == "/slots/7?owner=9");
  CHECK(Accepted(ParseService("GET", "/services/booking")).mEndpointPath == "/");
  CHECK(Accepted(ParseService("GET", "/services/booking?a=1")).mEndpointPath == "/?a=1");
}

TEST_CASE("service paths that name no service or leave their root are refused")
{
  CHECK(ReasonOf(ParseService("GET", "/services/")) == "unknown-service");
  CHECK(ReasonOf(ParseService("GET", "/services/b%20c/x")) == "unknown-service");
  CHECK(ReasonOf(ParseService("GET", "/services/b/../v1/orders")) == "bad-path");
  CHECK(ReasonOf(ParseService("GET", "/services/b/%2e%2e/v1/orders")) == "bad-path");
  CHECK(ReasonOf(ParseService("GET", "/services/b/..")) == "bad-path");
  CHECK(ReasonOf(ParseService("TRACE", "/services/b/x")) == "bad-method");
}

TEST_CASE("the fingerprint follows the prompt and not the model or the stream flag")
{
  const auto fingerprint = [](const std::string& aBody) {
    return Accepted(ParseChat(Chat(aBody))).mFacts.mFingerprint;
  };
  const auto base = fingerprint(R"({"messages":[{"role":"user","content":"hi"}]})");
  CHECK(fingerprint(R"({"stream":true,"model":"a","messages":[{"content":"hi","role":"user"}]})") ==
        base);
  CHECK(fingerprint(R"({"messages":[{"role":"user","content":"ho"}]})") != base);
}

TEST_CASE("a problem document names its verdict and reason")
{
  const ProblemReply problem{ 503, Verdict::MayHaveRun, "endpoint-lost", "it broke", 1500ms };
  const auto text = problem.Json(RequestId("r1"));
  CHECK(text.find(R"("verdict":"may-have-run")") != std::string::npos);
  CHECK(text.find(R"("reason":"endpoint-lost")") != std::string::npos);
  CHECK(text.find(R"("request_id":"r1")") != std::string::npos);
  CHECK(problem.RetryAfterSeconds() == "2");
}

TEST_CASE("every event of the entry has its own number in the module's range")
{
  std::set<std::uint16_t> numbers;
  for (const auto* it : EntryEvents()) {
    CHECK(it->mNumber / 100 == 8);
    CHECK(numbers.insert(it->mNumber).second);
  }
}
