#include "AttemptFixture.h"

#include <standins/service/PlainServiceStandIn.h>

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace skylarkchute::tests;
using standins::EngineStandIn;
using standins::PlainServiceStandIn;

namespace {

AttemptResult RunOne(const AttemptRequest& aRequest,
                     const std::shared_ptr<RecordingListener>& aListener)
{
  AttemptRunner runner({});
  runner.Submit(aRequest, aListener);
  return aListener->Wait();
}

AttemptResult RunOne(const AttemptRequest& aRequest)
{
  return RunOne(aRequest, std::make_shared<RecordingListener>());
}

AttemptRequest ServiceAttempt(std::uint16_t aPort)
{
  AttemptRequest request;
  request.mAttempt = AttemptId("order.1");
  request.mAddress = "127.0.0.1";
  request.mPort = aPort;
  request.mTimeout = std::chrono::seconds(20);
  request.mMethod = "PUT";
  request.mPath = "/orders/7?urgent=1";
  request.mBody = "tow";
  request.mContentType = "text/plain";
  request.mModelRequest = false;
  request.mRequestKey = RequestKey("order-7");
  return request;
}

} // namespace

TEST_CASE("an engine's JSON answer comes whole with its token counts")
{
  const EngineStandIn engine(EngineOptions());
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", false));
  CHECK(result.mOutcome.mEnd == AttemptEnd::Complete);
  CHECK(result.mOutcome.mVerdict == Verdict::Ran);
  CHECK(result.mOutcome.mCompletionTokens == 12);
  CHECK(result.mBody.find(ExpectedText()) != std::string::npos);
  CHECK(engine.CountRunsByKey("key-r.1") == 1);
}

TEST_CASE("an engine's stream comes whole and in order")
{
  const EngineStandIn engine(EngineOptions());
  const auto listener = std::make_shared<RecordingListener>();
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", true), listener);
  CHECK(result.mOutcome.mEnd == AttemptEnd::Complete);
  CHECK(result.mOutcome.mCompletionTokens == 12);
  CHECK(listener->mText == ExpectedText());
  CHECK(listener->mFirstTokens == 1);
  CHECK(listener->mEnds == 1);
}

TEST_CASE("a broken stream is resumed on its endpoint without running again")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"break_after":4,"break_times":2})");
  const auto listener = std::make_shared<RecordingListener>();
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", true), listener);
  CHECK(result.mOutcome.mEnd == AttemptEnd::Complete);
  CHECK(result.mResumes == 2);
  CHECK(listener->mText == ExpectedText());
  CHECK(engine.CountRunsByKey("key-r.1") == 1);
}

TEST_CASE("a stream that breaks before its first chunk is resumed from the start")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"break_after":0,"break_times":1})");
  const auto listener = std::make_shared<RecordingListener>();
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", true), listener);
  CHECK(result.mOutcome.mEnd == AttemptEnd::Complete);
  CHECK(listener->mText == ExpectedText());
  CHECK(engine.CountRunsByKey("key-r.1") == 1);
}

TEST_CASE("a client error of a plain service is returned as its response")
{
  PlainServiceStandIn service({});
  service.UpdateSwitches(R"({"error_status":404})");
  const auto answered = RunOne(ServiceAttempt(service.Port()));
  CHECK(answered.mOutcome.mEnd == AttemptEnd::Complete);
  CHECK(answered.mOutcome.mHttpStatus == 404);
  CHECK(answered.mBody.find("order-7") != std::string::npos);

  service.UpdateSwitches(R"({"error_not_run":true})");
  const auto refused = RunOne(ServiceAttempt(service.Port()));
  CHECK(refused.mOutcome.mEnd == AttemptEnd::Rejected);
  CHECK(refused.mOutcome.mVerdict == Verdict::NotRun);
}

TEST_CASE("an attempt whose time is over before it begins is not run")
{
  const EngineStandIn engine(EngineOptions());
  auto request = ChatAttempt(engine.Port(), "r.1", false);
  request.mTimeout = std::chrono::milliseconds(0);
  const auto result = RunOne(request);
  CHECK(result.mOutcome.mEnd == AttemptEnd::TimedOut);
  CHECK(result.mOutcome.mVerdict == Verdict::NotRun);
  CHECK(engine.Runs().empty());
}

TEST_CASE("a stream that keeps breaking is given up after the bounded resumes")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"break_after":4,"break_times":100})");
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", true));
  CHECK(result.mOutcome.mEnd == AttemptEnd::Broken);
  CHECK(result.mOutcome.mVerdict == Verdict::MayHaveRun);
  CHECK(result.mResumes == EndpointClient::Options().mMaxResumes);
  CHECK(result.mOutcome.mCallerSawBytes);
}

TEST_CASE("a chunk lost on the way is fetched again")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"skip_chunk":5})");
  const auto listener = std::make_shared<RecordingListener>();
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", true), listener);
  CHECK(result.mOutcome.mEnd == AttemptEnd::Complete);
  CHECK(result.mResumes == 1);
  CHECK(listener->mText == ExpectedText());
  CHECK(engine.CountRunsByKey("key-r.1") == 1);
}

TEST_CASE("stray chunks of other attempts never reach the answer")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"stray_chunks":true})");
  const auto listener = std::make_shared<RecordingListener>();
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", true), listener);
  CHECK(result.mOutcome.mEnd == AttemptEnd::Complete);
  CHECK(listener->mText == ExpectedText());
  CHECK(result.mDroppedChunks >= 28);
}

TEST_CASE("an answer that names another attempt is dropped")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"foreign_answers":true})");
  const bool stream = GENERATE(false, true);
  const auto listener = std::make_shared<RecordingListener>();
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", stream), listener);
  CHECK(result.mOutcome.mEnd == AttemptEnd::Broken);
  CHECK(result.mOutcome.mVerdict == Verdict::MayHaveRun);
  CHECK(result.mBody.empty());
  CHECK(listener->mText.empty());
  CHECK(result.mDroppedChunks == 1);
}

TEST_CASE("a body shorter than its length is not an answer")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"cut_body":true})");
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", false));
  CHECK(result.mOutcome.mEnd == AttemptEnd::Broken);
  CHECK(result.mOutcome.mVerdict == Verdict::MayHaveRun);
  CHECK(result.mBody.empty());
}

TEST_CASE("a refused connection is certainly not run")
{
  std::uint16_t port = 0;
  {
    const Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1", 0));
    port = unused.address().port();
  }
  const auto result = RunOne(ChatAttempt(port, "r.1", false));
  CHECK(result.mOutcome.mEnd == AttemptEnd::ConnectFailed);
  CHECK(result.mOutcome.mVerdict == Verdict::NotRun);
}

TEST_CASE("an error is not-run only if the endpoint says so")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"error_status":503,"error_not_run":true})");
  const auto refused = RunOne(ChatAttempt(engine.Port(), "r.1", false));
  CHECK(refused.mOutcome.mEnd == AttemptEnd::Refused);
  CHECK(refused.mOutcome.mVerdict == Verdict::NotRun);
  CHECK(engine.Runs().empty());

  engine.UpdateSwitches(R"({"error_not_run":false})");
  const auto failed = RunOne(ChatAttempt(engine.Port(), "r.2", false));
  CHECK(failed.mOutcome.mEnd == AttemptEnd::Failed);
  CHECK(failed.mOutcome.mVerdict == Verdict::MayHaveRun);
  CHECK(failed.mOutcome.mHttpStatus == 503);

  engine.UpdateSwitches(R"({"error_status":400})");
  const auto rejected = RunOne(ChatAttempt(engine.Port(), "r.3", false));
  CHECK(rejected.mOutcome.mEnd == AttemptEnd::Rejected);
  CHECK(rejected.mOutcome.mVerdict == Verdict::MayHaveRun);
}

TEST_CASE("a crash of the endpoint leaves may-have-run")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"crash_word":"hello"})");
  const auto result = RunOne(ChatAttempt(engine.Port(), "r.1", GENERATE(false, true)));
  CHECK(result.mOutcome.mEnd == AttemptEnd::Broken);
  CHECK(result.mOutcome.mVerdict == Verdict::MayHaveRun);
}

TEST_CASE("an attempt ends at its deadline and the engine is told to cancel")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"hang":true})");
  auto request = ChatAttempt(engine.Port(), "r.1", false);
  request.mTimeout = std::chrono::milliseconds(100);
  const auto result = RunOne(request);
  CHECK(result.mOutcome.mEnd == AttemptEnd::TimedOut);
  CHECK(result.mOutcome.mVerdict == Verdict::MayHaveRun);
  REQUIRE(engine.Runs().size() == 1);
  CHECK(engine.Runs().front().mCancelled);
}

TEST_CASE("a cancelled attempt ends soon and its engine stops it")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"slow_factor":1000})");
  AttemptRunner runner({});
  const auto listener = std::make_shared<RecordingListener>();
  runner.Submit(ChatAttempt(engine.Port(), "r.1", true), listener);
  listener->WaitForFirstToken();
  runner.Cancel(AttemptId("r.1"));
  const auto result = listener->Wait();
  CHECK(result.mOutcome.mEnd == AttemptEnd::Cancelled);
  CHECK(result.mOutcome.mVerdict == Verdict::MayHaveRun);
  REQUIRE(engine.Runs().size() == 1);
  while (runner.InFlight() > 0) {
    std::this_thread::yield();
  }
  CHECK(engine.Runs().front().mCancelled);
  CHECK_FALSE(engine.Runs().front().mFinished);
}

TEST_CASE("attempts beyond the runner's bound are refused as not run")
{
  EngineStandIn engine(EngineOptions());
  engine.UpdateSwitches(R"({"hang":true})");
  AttemptRunner::Options options;
  options.mMaxThreads = 2;
  options.mMaxQueued = 1;
  AttemptRunner runner(options);
  std::vector<std::shared_ptr<RecordingListener>> listeners;
  for (int n = 0; n < 3; ++n) {
    listeners.push_back(std::make_shared<RecordingListener>());
    runner.Submit(ChatAttempt(engine.Port(), "r." + std::to_string(n), false), listeners.back());
  }
  while (engine.Runs().size() < 2) {
    std::this_thread::yield();
  }
  CHECK(runner.InFlight() == 3);
  const auto refused = std::make_shared<RecordingListener>();
  runner.Submit(ChatAttempt(engine.Port(), "r.9", false), refused);
  CHECK(refused->Wait().mOutcome.mVerdict == Verdict::NotRun);
  engine.UpdateSwitches(R"({"hang":false})");
  for (const auto& it : listeners) {
    CHECK(it->Wait().mOutcome.mEnd == AttemptEnd::Complete);
  }
}

TEST_CASE("a plain service gets the caller's method, path and body once")
{
  const PlainServiceStandIn service({});
  const auto result = RunOne(ServiceAttempt(service.Port()));
  CHECK(result.mOutcome.mEnd == AttemptEnd::Complete);
  REQUIRE(service.CountCallsByKey("order-7") == 1);
  CHECK(service.Calls().front().mMethod == "PUT");
  CHECK(service.Calls().front().mPath == "/orders/7?urgent=1");
  CHECK(service.Calls().front().mBody == "tow");
}

TEST_CASE("a plain service's lost answer is may-have-run and is not sent again")
{
  PlainServiceStandIn service({});
  service.UpdateSwitches(R"({"lose_answers":true})");
  const auto result = RunOne(ServiceAttempt(service.Port()));
  CHECK(result.mOutcome.mEnd == AttemptEnd::Broken);
  CHECK(result.mOutcome.mVerdict == Verdict::MayHaveRun);
  CHECK(service.CountCallsByKey("order-7") == 1);
}
