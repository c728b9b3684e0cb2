#include "soak/HttpConnection.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

using namespace skylarkchute::soak;

namespace {

/** Returns what a client reads when the peer sends @p aBytes and closes in good order. */
HttpAnswer Receive(const std::string& aBytes)
{
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  HttpConnection connection(listener.address().port());
  auto peer = listener.acceptConnection();
  peer.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  peer.shutdownSend();
  return connection.Receive(std::chrono::steady_clock::now() + std::chrono::seconds(1));
}

const std::string kHead = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("A response is complete only at the end that its framing states")
{
  const auto chunked = kHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
  CHECK(Receive(chunked + "0\r\n\r\n").mIsComplete);
  CHECK(Receive(chunked + "0\r\n\r\n").mBody == "abc");
  CHECK_FALSE(Receive(chunked).mIsComplete);
  CHECK_FALSE(Receive(chunked + "0\r\n").mIsComplete);
  CHECK(Receive(kHead + "Content-Length: 3\r\n\r\nabc").mIsComplete);
  CHECK_FALSE(Receive(kHead + "Content-Length: 4\r\n\r\nabc").mIsComplete);
  CHECK(Receive(kHead + "\r\nabc").mIsComplete);
  CHECK(Receive(kHead + "Content-Le").mStatus == 0);
  CHECK(Receive("").mStatus == 0);
}
