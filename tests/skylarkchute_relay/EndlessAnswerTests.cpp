#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/callers/ControlServer.h>
#include <skylarkchute_relay/net/HttpCall.h>

#include <malloc.h>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMiB = 1024 * 1024;

/** Returns the bytes that are allocated on the heap. */
std::size_t HeapBytes()
{
  const auto heap = ::mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

/** Sends a text again and again until the receiver closes the connection. */
class EndlessSender : public std::enable_shared_from_this<EndlessSender>
{
public:
  /** @param aMaxSentBytes  after which the sender falls silent; bounds what a receiver without a
                            limit takes */
  explicit EndlessSender(FakeEndpoint::Socket aSocket, std::size_t aMaxSentBytes = 64 * kMiB)
    : mSocket(std::move(aSocket))
    , mMaxSentBytes(aMaxSentBytes)
  {
  }

  void Start(const std::string& aBegin, const std::string& aRepeated)
  {
    constexpr std::size_t kWriteBytes = 64 * 1024;
    mStartBytes = HeapBytes();
    WriteAll(mSocket, aBegin);
    while (mBlock.size() < kWriteBytes) {
      mBlock += aRepeated;
    }
    Write();
  }

  bool IsClosed() const { return mIsClosed; }

  bool IsSilent() const { return mSent >= mMaxSentBytes; }

  /** Returns by how much the heap has grown at most since the start, in bytes. */
  std::size_t PeakGrowth() const { return mPeakGrowth; }

private:
  void Write()
  {
    const auto held = HeapBytes();
    mPeakGrowth = std::max(mPeakGrowth, held - std::min(held, mStartBytes));
    if (mSent >= mMaxSentBytes) {
      return;
    }
    boost::asio::async_write(
      *mSocket,
      boost::asio::buffer(mBlock),
      [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aCount) {
        self->mSent += aCount;
        self->mIsClosed = static_cast<bool>(aError);
        if (!aError) {
          self->Write();
        }
      });
  }

  FakeEndpoint::Socket mSocket;
  std::size_t mMaxSentBytes;
  std::string mBlock;
  std::size_t mStartBytes = 0;
  std::size_t mPeakGrowth = 0;
  std::size_t mSent = 0;
  bool mIsClosed = false;
};

/** A relay with two endpoints, of which the one that gets the first request sends without end and
    the other one answers. */
struct EndlessRelay : RelayFixture
{
  EndlessRelay(std::string aBegin, std::string aRepeated, std::string aNextAnswer)
    : mBegin(std::move(aBegin))
    , mRepeated(std::move(aRepeated))
    , mNextAnswer(std::move(aNextAnswer))
  {
    AddEndpoint("e1", mFirst.Address());
    AddEndpoint("e2", mSecond.Address());
  }

  void Answer(const FakeEndpoint::Socket& aSocket)
  {
    if (mSender) {
      WriteAll(aSocket, mNextAnswer);
      return;
    }
    mSender = std::make_shared<EndlessSender>(aSocket);
    mSender->Start(mBegin, mRepeated);
  }

  std::string mBegin;
  std::string mRepeated;
  std::string mNextAnswer;
  std::shared_ptr<EndlessSender> mSender;
  FakeEndpoint mFirst{ mLoop, [this](const auto&, const auto& aSocket) { Answer(aSocket); } };
  FakeEndpoint mSecond{ mLoop, [this](const auto&, const auto& aSocket) { Answer(aSocket); } };
};

const std::string kSealedHead =
  "HTTP/1.1 200 OK\r\nSkylarkchute-Request-Id: r1\r\nSkylarkchute-Response-Seal: s1\r\n";
const std::string kWholeAnswer = kSealedHead + "Content-Length: 5\r\n\r\nwhole";

/** Sends an idempotent request and checks that it gets the second endpoint's answer, that the first
    one's connection is closed long before the deadline, and that the heap grew by less than the
    bound.
    @param aMaxGrowth  in bytes */
void CheckNextAnswer(EndlessRelay& aRelay, std::size_t aMaxGrowth)
{
  const auto caller = aRelay.Connect();
  const auto answer = aRelay.ReceiveAsync(caller);
  const auto start = std::chrono::steady_clock::now();
  aRelay.Send(caller, CallerRequest("GET", "/check/1", "r1"));
  CHECK(aRelay.RunUntil([&] { return answer->find("whole") != std::string::npos; }));
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(700));
  CHECK(aRelay.RunUntil([&] { return aRelay.mSender->IsClosed(); }));
  CHECK(aRelay.mSender->PeakGrowth() < aMaxGrowth);
}

/** Sends a request that may not be repeated and checks that it fails long before the deadline as
   one that may have run, and that the endpoint's connection is closed. */
void CheckOnlyAttemptIsDamaged(EndlessRelay& aRelay)
{
  const auto caller = aRelay.Connect();
  const auto answer = aRelay.ReceiveAsync(caller);
  const auto start = std::chrono::steady_clock::now();
  aRelay.Send(caller, CallerRequest("POST", "/order/1", "r1", "x"));
  CHECK(aRelay.RunUntil([&] { return answer->find("\r\n\r\n") != std::string::npos; }));
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(1500));
  CHECK(answer->find("HTTP/1.1 502") == 0);
  CHECK(aRelay.RunUntil([&] { return aRelay.mSender->IsClosed(); }));
  CHECK(aRelay.mFirst.mRequests.size() + aRelay.mSecond.mRequests.size() == 1);
}

} // namespace

TEST_CASE("a body without end is closed as damaged")
{
  const auto framing = GENERATE(as<std::string>(), "", "Transfer-Encoding: chunked\r\n");
  EndlessRelay relay(
    kSealedHead + framing + "\r\n", framing.empty() ? "x" : "1\r\nx\r\n", kWholeAnswer);
  CheckNextAnswer(relay, 24 * kMiB);
}

TEST_CASE("a request that may not be repeated gets no second attempt after a body without end")
{
  EndlessRelay relay(kSealedHead + "\r\n", "x", kWholeAnswer);
  CheckOnlyAttemptIsDamaged(relay);
}

TEST_CASE("bodies without end leave room for the answers of other requests")
{
  constexpr std::size_t kEndless = 8;
  RelayFixture relay;
  std::vector<std::shared_ptr<EndlessSender>> senders;
  FakeEndpoint endpoint(relay.mLoop, [&](const std::string& aRequest, const auto& aSocket) {
    if (aRequest.find("/check/endless") == std::string::npos) {
      WriteAll(aSocket, SealedResponse(aRequest, 200, std::string(100000, 'a') + "whole"));
      return;
    }
    // Less than one answer may have, and not complete.
    senders.push_back(std::make_shared<EndlessSender>(aSocket, 7 * kMiB));
    const auto id = std::to_string(aRequest[aRequest.find("Request-Id: r") + 13] - '0');
    senders.back()->Start("HTTP/1.1 200 OK\r\nSkylarkchute-Request-Id: r" + id +
                            "\r\nSkylarkchute-Response-Seal: s1\r\n\r\n",
                          "x");
  });
  relay.AddEndpoint("e1", endpoint.Address());
  for (std::size_t n = 0; n < kEndless; ++n) {
    const auto caller = relay.Connect();
    relay.ReceiveAsync(caller);
    relay.Send(caller, CallerRequest("GET", "/check/endless", "r" + std::to_string(n)));
  }
  const auto hasEnded = [](const auto& aSender) {
    return aSender->IsClosed() || aSender->IsSilent();
  };
  CHECK(relay.RunUntil([&] {
    return senders.size() == kEndless && std::all_of(senders.begin(), senders.end(), hasEnded);
  }));
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("GET", "/check/1", "r9"));
  CHECK(relay.RunUntil([&] { return answer->find("whole") != std::string::npos; }));
  for (const auto& it : senders) {
    CHECK(it->PeakGrowth() < 50 * kMiB);
  }
}

TEST_CASE("a length that an endpoint states takes no memory before its bytes have come")
{
  // More than any allocation can have: it ended the process.
  EndlessRelay relay(
    kSealedHead + "Content-Length: 9000000000000000000\r\n\r\n", "x", kWholeAnswer);
  CheckNextAnswer(relay, 24 * kMiB);
}

TEST_CASE("a chunk's head or a trailer without end is closed as damaged")
{
  const auto begin = GENERATE(as<std::string>(), "5;x=", "0\r\nX-Trailer: ");
  EndlessRelay relay(kSealedHead + "Transfer-Encoding: chunked\r\n\r\n" + begin, "x", kWholeAnswer);
  CheckNextAnswer(relay, 2 * kMiB);
}

TEST_CASE("a response head without end is closed as damaged")
{
  const auto begin = GENERATE(as<std::string>(), "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX: ");
  EndlessRelay relay(begin, "x", kWholeAnswer);
  CheckNextAnswer(relay, 2 * kMiB);
}

TEST_CASE("responses without end before the expected one are closed as damaged")
{
  const auto other = kSealedHead.substr(0, kSealedHead.find("r1")) + "other\r\n";
  SECTION("interim responses")
  {
    EndlessRelay relay("", "HTTP/1.1 103 Early Hints\r\n\r\n", kWholeAnswer);
    CheckOnlyAttemptIsDamaged(relay);
  }
  SECTION("responses to other requests")
  {
    EndlessRelay relay("", other + "Content-Length: 2\r\n\r\nno", kWholeAnswer);
    CheckOnlyAttemptIsDamaged(relay);
  }
  SECTION("a response to another request whose body does not end")
  {
    EndlessRelay relay(other + "\r\n", "x", kWholeAnswer);
    CheckOnlyAttemptIsDamaged(relay);
  }
}

TEST_CASE("an event without end is closed as damaged, and the stream goes on elsewhere")
{
  const auto repeated = GENERATE(as<std::string>(), "x", "data: x\n");
  EndlessRelay relay(
    kSealedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: ",
    repeated,
    kSealedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
      EventChunk(2) + EventChunk(3) + "0\r\n\r\n");
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "x"));
  CHECK(relay.RunUntil([&] { return answer->find("\r\n0\r\n\r\n") != std::string::npos; }));
  CHECK(answer->find("id: 1\ndata: x\n\n") != std::string::npos);
  CHECK(answer->find("id: 2\ndata: x\n\n") != std::string::npos);
  CHECK(answer->find("id: 3\ndata: x\n\n") != std::string::npos);
  CHECK(relay.RunUntil([&] { return relay.mSender->IsClosed(); }));
  CHECK(relay.mSender->PeakGrowth() < 4 * kMiB);
}

TEST_CASE("an event that comes in small pieces takes time in proportion to its length")
{
  constexpr std::size_t kLines = 64 * 1024;
  EventSplitter splitter;
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t n = 0; n < kLines; ++n) {
    REQUIRE(splitter.Feed("data: x\n").empty());
  }
  const auto events = splitter.Feed("\n");
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(1000));
  REQUIRE(events.size() == 1);
  CHECK(events[0].mBytes.size() == 8 * kLines + 1);
}

TEST_CASE("an answer without end to a call to the store or a peer is closed")
{
  RelayFixture relay;
  std::shared_ptr<EndlessSender> sender;
  FakeEndpoint server(relay.mLoop, [&](const std::string&, const auto& aSocket) {
    if (sender) {
      WriteAll(aSocket, kWholeAnswer);
      return;
    }
    sender = std::make_shared<EndlessSender>(aSocket);
    sender->Start("HTTP/1.1 200 OK\r\n\r\n", "x");
  });
  const auto call = std::make_shared<HttpCall>(relay.mLoop, server.Address());
  std::vector<bool> answers;
  const auto record = [&](const CallResult& aResult) { answers.push_back(aResult.mHasResponse); };
  call->Start("GET", "/a", {}, milliseconds(3000), record);
  const auto start = std::chrono::steady_clock::now();
  CHECK(relay.RunUntil([&] { return answers.size() == 1; }));
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(1500));
  CHECK(relay.RunUntil([&] { return sender->IsClosed(); }));
  CHECK(sender->PeakGrowth() < 24 * kMiB);
  call->Start("GET", "/b", {}, milliseconds(3000), record);
  CHECK(relay.RunUntil([&] { return answers.size() == 2; }));
  CHECK(answers == std::vector<bool>{ false, true });
}

TEST_CASE("a request without end from a peer is closed")
{
  RelayFixture relay;
  ControlServer server(relay.mLoop, [](const ControlRequest&) { return ControlResponse{}; });
  boost::asio::ip::tcp::acceptor reserved(relay.mLoop,
                                          { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const auto address = reserved.local_endpoint();
  reserved.close();
  REQUIRE(server.Listen(address));
  const auto begin = GENERATE(as<std::string>(), "5;x=", "0\r\nX-Trailer: ");
  const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(relay.mLoop);
  socket->connect(address);
  const auto sender = std::make_shared<EndlessSender>(socket);
  sender->Start("POST /rpc HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + begin, "x");
  CHECK(relay.RunUntil([&] { return sender->IsClosed(); }));
  CHECK(sender->PeakGrowth() < 2 * kMiB);
}

TEST_CASE("an answer of several MiB reaches its caller whole")
{
  static constexpr std::size_t kBytes = 3 * kMiB;
  RelayFixture relay;
  FakeEndpoint endpoint(relay.mLoop, [](const std::string&, const auto& aSocket) {
    std::make_shared<EndlessSender>(aSocket, kBytes)
      ->Start(kSealedHead + "Content-Length: " + std::to_string(kBytes) + "\r\n\r\n", "x");
  });
  relay.AddEndpoint("e1", endpoint.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("GET", "/check/1", "r1"));
  CHECK(relay.RunUntil([&] { return answer->size() > kBytes || relay.mIsClosed[0]; }));
  CHECK_FALSE(relay.mIsClosed[0]);
  const auto body = answer->find("\r\n\r\n");
  REQUIRE(body != std::string::npos);
  CHECK(answer->substr(body + 4) == std::string(kBytes, 'x'));
}
