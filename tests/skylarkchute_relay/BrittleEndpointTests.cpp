#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <utility>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kRejectionLimit = 2;
constexpr milliseconds kLoadTime{ 2400 };
constexpr milliseconds kRequestInterval{ 30 };

/** Returns an answer of a brittle endpoint. */
std::string BrittleAnswer(const std::string& aRequest, bool aIsRejection)
{
  auto answer = SealedResponse(aRequest, aIsRejection ? 503 : 200, "x");
  const std::string fields = "Server-Brittle: " + std::to_string(kRejectionLimit) + "\r\n" +
                             "Skylarkchute-Server-Load: 6,2,6\r\n" +
                             (aIsRejection ? "Skylarkchute-Not-Executed: 1\r\n" : "");
  return answer.insert(answer.find("\r\n") + 2, fields);
}

} // namespace

TEST_CASE("a brittle endpoint that rejects requests is not sent more than it survives")
{
  RelayFixture relay;
  const auto start = SteadyClock::now();
  std::deque<SteadyClock::time_point> rejected;
  std::size_t most = 0;
  bool wasAnswered = false;
  FakeEndpoint brittle(relay.mLoop, [&](const std::string& aRequest, const auto& aSocket) {
    const bool isRejection = std::exchange(wasAnswered, true);
    if (isRejection) {
      rejected.push_back(SteadyClock::now());
      while (rejected.back() - rejected.front() > std::chrono::seconds(1)) {
        rejected.pop_front();
      }
      most = std::max(most, rejected.size());
    }
    WriteAll(aSocket, BrittleAnswer(aRequest, isRejection));
  });
  relay.AddEndpoint("brittle", brittle.Address());
  const auto caller = relay.Connect();
  const auto answers = relay.ReceiveAsync(caller);
  int sent = 0;
  while (SteadyClock::now() - start < kLoadTime) {
    relay.Send(caller, CallerRequest("GET", "/check/1", "r" + std::to_string(++sent)));
    const auto next = SteadyClock::now() + kRequestInterval;
    relay.RunUntil([&] { return SteadyClock::now() >= next; });
  }
  CHECK(most >= 1);
  CHECK(most <= kRejectionLimit);
  CHECK(answers->find("Retry-After: ") != std::string::npos);
}

TEST_CASE("what a brittle endpoint says is not withdrawn by an answer that cannot be read")
{
  EndpointNotices notices;
  const auto now = TimePoint{} + std::chrono::hours(1);
  EndpointNotice notice;
  notice.mRejectionLimit = 3;
  CHECK(notices.OnNotice(notice, now).mRejectionLimit);
  notice.mRejectionLimit = -1;
  CHECK_FALSE(notices.OnNotice(notice, now).mRejectionLimit);
  notice.mRejectionLimit.reset();
  notice.mKeepsRejectionLimit = true;
  CHECK_FALSE(notices.OnNotice(notice, now).mRejectionLimit);
  CHECK(notices.RejectionLimit() == 3.0);
  CHECK(notices.OnNotice({}, now).mRejectionLimit);
  CHECK_FALSE(notices.RejectionLimit());
}
