#include "RelayFixture.h"

#include <catch2/catch.hpp>
#include <skylarkchute_relay/net/ClientConnection.h>

using namespace skylarkchute;
namespace asio = boost::asio;

namespace {

/** Records what comes of one request. */
struct RecordingListener : ResponseListener
{
  HeadChoice OnHead(const ResponseReader& aReader) override
  {
    mStatus = aReader.Status();
    return HeadChoice::Accept;
  }
  void OnBody(std::string aBytes) override { mBody += aBytes; }
  void OnDone(bool) override { mIsDone = true; }
  void OnConnectionFailed(ConnectionFailure aFailure) override { mFailure = aFailure; }

  bool HasEnded() const { return mIsDone || mFailure; }

  unsigned mStatus = 0;
  std::string mBody;
  bool mIsDone = false;
  std::optional<ConnectionFailure> mFailure;
};

/** How a server ends the connection of an answer. */
enum class End
{
  Reset,
  HalfClose, /**< Sends no more, and leaves the rest of the request unread. */
  None,
};

/** Answers each connection at once, before the request is read, and ends it a little later. */
class EarlyServer
{
public:
  EarlyServer(asio::io_context& aLoop, std::string aAnswer, End aEnd)
    : mAnswer(std::move(aAnswer))
    , mEnd(aEnd)
    , mAcceptor(aLoop, { asio::ip::make_address("127.0.0.1"), 0 })
    , mSocket(aLoop)
    , mDelay(aLoop)
  {
    mAcceptor.async_accept(mSocket, [this](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      asio::write(mSocket, asio::buffer(mAnswer));
      mDelay.expires_after(std::chrono::milliseconds(30));
      mDelay.async_wait([this](const boost::system::error_code&) { EndConnection(); });
    });
  }

  asio::ip::tcp::endpoint Address() const { return mAcceptor.local_endpoint(); }

private:
  void EndConnection()
  {
    if (mEnd == End::Reset) {
      mSocket.set_option(asio::socket_base::linger(true, 0));
      mSocket.close();
    } else if (mEnd == End::HalfClose) {
      mSocket.shutdown(asio::ip::tcp::socket::shutdown_send);
    }
  }

  std::string mAnswer;
  End mEnd;
  asio::ip::tcp::acceptor mAcceptor;
  asio::ip::tcp::socket mSocket;
  asio::steady_timer mDelay;
};

/** Sends a request without a body and returns the idle timeout that the answer states. */
std::chrono::seconds StatedIdleTimeout(const std::string& aTimeout)
{
  RelayFixture fixture;
  EarlyServer server(fixture.mLoop,
                     "HTTP/1.1 200 -\r\nKeep-Alive: timeout=" + aTimeout +
                       "\r\nContent-Length: 0\r\n\r\n",
                     End::None);
  const auto listener = std::make_shared<RecordingListener>();
  const auto connection =
    std::make_shared<ClientConnection>(fixture.mLoop, std::chrono::milliseconds(500));
  connection->Send(
    server.Address(), "GET / HTTP/1.1\r\n\r\n", std::make_shared<const std::string>(), listener);
  fixture.RunUntil([&] { return listener->HasEnded(); });
  const auto timeout = connection->IdleTimeout();
  connection->Close();
  return timeout;
}

/** Sends a request and waits for what comes of it. */
std::shared_ptr<RecordingListener> Exchange(const std::string& aAnswer,
                                            End aEnd,
                                            std::size_t aBytes)
{
  RelayFixture fixture;
  EarlyServer server(fixture.mLoop, aAnswer, aEnd);
  const auto listener = std::make_shared<RecordingListener>();
  const auto connection =
    std::make_shared<ClientConnection>(fixture.mLoop, std::chrono::milliseconds(500));
  connection->Send(server.Address(),
                   "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(aBytes) + "\r\n\r\n",
                   std::make_shared<const std::string>(aBytes, 'x'),
                   listener);
  fixture.RunUntil([&] { return listener->HasEnded(); });
  connection->Close();
  return listener;
}

constexpr std::size_t kLongUpload = 8 * 1024 * 1024;

} // namespace

TEST_CASE(
  "MIXED: an answer without a length that is reset while a long upload is sent is not whole")
{
  // Guards against a part of a body that counts as complete: the failed write takes the socket's
  // error, and the next read reports a proper close.
  const auto bytes =
    GENERATE(std::size_t{ 0 }, std::size_t{ 200000 }, kLongUpload, 4 * kLongUpload);
  CAPTURE(bytes);
  const auto listener = Exchange("HTTP/1.1 200 OK\r\n\r\npart of a body", End::Reset, bytes);
  CHECK(listener->mStatus == 200);
  CHECK_FALSE(listener->mIsDone);
  CHECK(listener->mFailure == ConnectionFailure::Closed);
}

TEST_CASE("an answer whose framing ends it is whole although the upload cannot be sent")
{
  const auto* const answer = GENERATE("HTTP/1.1 413 -\r\nContent-Length: 4\r\n\r\nbody",
                                      "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n"
                                      "4\r\nbody\r\n0\r\n\r\n");
  const auto listener = Exchange(answer, End::Reset, kLongUpload);
  CHECK(listener->mIsDone);
  CHECK(listener->mBody == "body");
}

TEST_CASE("an answer without a length that ends by a proper close is whole")
{
  const auto bytes = GENERATE(std::size_t{ 0 }, kLongUpload);
  const auto listener = Exchange("HTTP/1.1 200 OK\r\n\r\nbody", End::HalfClose, bytes);
  CHECK(listener->mIsDone);
  CHECK(listener->mBody == "body");
}

TEST_CASE("MIXED: an answer whose status is none is a failure")
{
  // Guards against a status of 000 being passed on, or skipped as an interim response with what
  // follows taken for the answer.
  const auto* const status = GENERATE("000", "001", "099", "101", "600", "999");
  CAPTURE(status);
  const auto listener = Exchange(std::string("HTTP/1.1 ") + status +
                                   " -\r\nContent-Length: 0\r\n\r\n"
                                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                                 End::None,
                                 0);
  CHECK_FALSE(listener->mIsDone);
  CHECK(listener->mFailure == ConnectionFailure::Malformed);
  CHECK(listener->mBody.empty());
}

TEST_CASE("an interim response is skipped")
{
  const auto* const status = GENERATE("100", "102", "103", "199");
  const auto listener = Exchange(std::string("HTTP/1.1 ") + status +
                                   " -\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                                 End::None,
                                 0);
  CHECK(listener->mIsDone);
  CHECK(listener->mStatus == 200);
  CHECK(listener->mBody == "body");
}

TEST_CASE("MIXED: an answer with a blank or a control byte in a field's name is a failure")
{
  // Guards against an answer that is passed on with such a line, or with a body that is not the
  // server's: a name that begins with a blank hides its line in the field before it.
  const auto* const line = GENERATE("Content Length: 4",
                                    " Content-Length: 4",
                                    "\tContent-Length: 4",
                                    "Content-Length : 4",
                                    "Content-Length\t: 4",
                                    "X\x01Y: 1\r\nContent-Length: 4",
                                    "X\x7fY: 1\r\nContent-Length: 4",
                                    ": 1\r\nContent-Length: 4",
                                    "X: 1\r\n \r\nContent-Length: 4",
                                    "X: 1\r\n Transfer-Encoding: chunked\r\nContent-Length: 4");
  const bool isFirst = GENERATE(false, true);
  CAPTURE(line, isFirst);
  const auto listener = Exchange(std::string("HTTP/1.1 200 OK\r\n") + (isFirst ? "" : "A: 1\r\n") +
                                   line + "\r\n\r\nbody",
                                 End::HalfClose,
                                 0);
  CHECK_FALSE(listener->mIsDone);
  CHECK(listener->mFailure == ConnectionFailure::Malformed);
}

TEST_CASE("MIXED: an answer whose head stops at any byte is a failure")
{
  // Guards against a 200 with an empty or short body for a server that stopped within the head.
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX: 1\r\n\r\n";
  for (std::size_t length = 0; length < head.size(); length += 3) {
    CAPTURE(length);
    const auto listener = Exchange(head.substr(0, length), End::HalfClose, 0);
    CHECK_FALSE(listener->mIsDone);
    CHECK(listener->mFailure == ConnectionFailure::Closed);
  }
}

TEST_CASE("a server's idle timeout beyond all bounds is cut")
{
  // Guards against an overflow of the lifetime of an idle connection.
  CHECK(StatedIdleTimeout("5") == std::chrono::seconds(5));
  CHECK(StatedIdleTimeout("9223372036854775807") == std::chrono::hours(24));
  CHECK(StatedIdleTimeout("18446744073709551615") == std::chrono::hours(24));
  CHECK(StatedIdleTimeout("99999999999999999999") == std::chrono::seconds(0));
}
