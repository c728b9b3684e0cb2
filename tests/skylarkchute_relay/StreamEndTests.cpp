#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

enum class Framing
{
  Length,
  Chunked,
  None,
};

enum class StreamEnd
{
  Whole,         /**< As its framing says, after the last event. */
  BeforeEvents,  /**< The connection closes after the head. */
  InsideEvent,   /**< The connection closes in the middle of the second event. */
  BetweenEvents, /**< The connection closes after the first event. */
  Reset,         /**< The connection is reset after the first event. */
};

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

std::string Head(Framing aFraming)
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nSkylarkchute-Request-Id: r1\r\nSkylarkchute-Response-Seal: s1\r\n"
    "Content-Type: text/event-stream\r\n";
  switch (aFraming) {
    case Framing::Length:
      return head + "Content-Length: " + std::to_string(2 * Event(1).size()) + "\r\n\r\n";
    case Framing::Chunked:
      return head + "Transfer-Encoding: chunked\r\n\r\n";
    case Framing::None:
      break;
  }
  return head + "\r\n";
}

std::string Framed(Framing aFraming, const std::string& aBytes)
{
  if (aFraming != Framing::Chunked || aBytes.empty()) {
    return aBytes;
  }
  std::ostringstream chunk;
  chunk << std::hex << aBytes.size() << "\r\n" << aBytes << "\r\n";
  return chunk.str();
}

std::string EventsBefore(StreamEnd aEnd)
{
  switch (aEnd) {
    case StreamEnd::Whole:
      return Event(1) + Event(2);
    case StreamEnd::BeforeEvents:
      return {};
    case StreamEnd::InsideEvent:
      return Event(1) + "id: 2\nda";
    case StreamEnd::BetweenEvents:
    case StreamEnd::Reset:
      break;
  }
  return Event(1);
}

/** Returns whether the end of a stream is that of a whole one. A stream that is neither framed nor
    reset is whole at the end of any event. */
bool IsWholeAt(Framing aFraming, StreamEnd aEnd)
{
  return aEnd == StreamEnd::Whole ||
         (aEnd == StreamEnd::BetweenEvents && aFraming == Framing::None);
}

} // namespace

TEST_CASE("a stream that is broken off goes on elsewhere, a whole one does not")
{
  const auto framing = GENERATE(Framing::Length, Framing::Chunked, Framing::None);
  const auto end = GENERATE(StreamEnd::Whole,
                            StreamEnd::BeforeEvents,
                            StreamEnd::InsideEvent,
                            StreamEnd::BetweenEvents,
                            StreamEnd::Reset);
  CAPTURE(static_cast<int>(framing), static_cast<int>(end));
  RelayFixture relay;
  boost::asio::steady_timer delay(relay.mLoop);
  std::size_t received = 0;
  const auto handler = [&](const std::string& aRequest, const FakeEndpoint::Socket& aSocket) {
    if (++received > 1) {
      const bool isResumed = aRequest.find("Last-Event-Id: 1") != std::string::npos;
      WriteAll(aSocket,
               StreamResponseHead(aRequest) + (isResumed ? "" : EventChunk(1)) + EventChunk(2) +
                 "0\r\n\r\n");
      return;
    }
    const bool isWholeChunked = end == StreamEnd::Whole && framing == Framing::Chunked;
    WriteAll(aSocket,
             Head(framing) + Framed(framing, EventsBefore(end)) +
               (isWholeChunked ? "0\r\n\r\n" : ""));
    // What was sent is read before the end, since a reset discards unread bytes.
    delay.expires_after(milliseconds(50));
    delay.async_wait([aSocket, end](const boost::system::error_code&) {
      aSocket->set_option(boost::asio::socket_base::linger(end == StreamEnd::Reset, 0));
      aSocket->close();
    });
  };
  FakeEndpoint first(relay.mLoop, handler);
  FakeEndpoint second(relay.mLoop, handler);
  relay.AddEndpoint("e1", first.Address());
  relay.AddEndpoint("e2", second.Address());
  const auto caller = relay.Connect();
  const auto answer = relay.ReceiveAsync(caller);
  relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "x"));
  CHECK(relay.RunUntil([&] { return answer->find("\r\n0\r\n\r\n") != std::string::npos; }));
  const bool isWhole = IsWholeAt(framing, end);
  CHECK(received == (isWhole ? 1 : 2));
  CHECK(answer->find(Event(1)) != std::string::npos);
  const bool hasSecond = answer->find(Event(2)) != std::string::npos;
  CHECK(hasSecond == (!isWhole || end == StreamEnd::Whole));
}

TEST_CASE("a stream without framing that ends before its first event clears no crash suspect")
{
  RelayFixture relay;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
  std::size_t crashes = 0;
  for (std::size_t n = 0; n < 5; ++n) {
    endpoints.push_back(std::make_unique<FakeEndpoint>(
      relay.mLoop, [&, n](const std::string&, const FakeEndpoint::Socket& aSocket) {
        ++crashes;
        endpoints[n]->StopListening();
        WriteAll(aSocket,
                 "HTTP/1.1 200 OK\r\nSkylarkchute-Request-Id: r1\r\n"
                 "Skylarkchute-Response-Seal: s1\r\n\r\n");
        aSocket->close();
      }));
    relay.AddEndpoint("e" + std::to_string(n), endpoints[n]->Address());
  }
  std::string last;
  for (int n = 0; n < 4; ++n) {
    const auto caller = relay.Connect();
    const auto answer = relay.ReceiveAsync(caller);
    const auto index = relay.mIsClosed.size() - 1;
    relay.Send(caller, CallerRequest("POST", "/chat/1", "r1", "crashing"));
    CHECK(relay.RunUntil(
      [&] { return relay.mIsClosed[index] || answer->find("\r\n\r\n") != std::string::npos; }));
    relay.RunUntil([end = std::chrono::steady_clock::now() + milliseconds(250)] {
      return std::chrono::steady_clock::now() >= end;
    });
    last = *answer;
  }
  CHECK(last.find("HTTP/1.1 503") == 0);
  CHECK(crashes <= 3);
}
