#include "RelayFixture.h"

#include <skylarkchute_relay/net/SocketOptions.h>

namespace skylarkchute {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

FleetBounds TestBounds()
{
  return { { 0.9, 50, milliseconds(10000) }, { 0.15, 30 }, milliseconds(5000) };
}

RelayRoute Route(const std::string& aName, RequestKind aKind, std::uint32_t aAttempts)
{
  RelayRoute route;
  route.mName = aName;
  route.mHost = "site";
  route.mPathPrefix = "/" + aName + "/";
  route.mKind = aKind;
  route.mTargets = { { ServiceName("svc"), 1 } };
  route.mTimeout = milliseconds(3000);
  route.mTargetLatency = milliseconds(1000);
  route.mMaxAttempts = aAttempts;
  route.mPublic = true;
  route.mResumable = aKind == RequestKind::Stream;
  return route;
}

std::size_t BodyLength(const std::string& aHead)
{
  const auto field = aHead.find("Content-Length: ");
  return field == std::string::npos ? 0 : std::stoul(aHead.substr(field + 16));
}

std::string HeaderOf(const std::string& aRequest, const std::string& aName)
{
  const auto start = aRequest.find(aName + ": ");
  if (start == std::string::npos) {
    return {};
  }
  const auto value = start + aName.size() + 2;
  return aRequest.substr(value, aRequest.find("\r\n", value) - value);
}

} // namespace

FakeEndpoint::FakeEndpoint(asio::io_context& aLoop, RequestHandler aHandler)
  : mAcceptor(aLoop, { asio::ip::make_address("127.0.0.1"), 0 })
  , mAddress("127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port()))
  , mHandler(std::move(aHandler))
{
  Accept();
}

std::string FakeEndpoint::Address() const
{
  return mAddress;
}

void FakeEndpoint::StopListening()
{
  mAcceptor.close();
}

void FakeEndpoint::Accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      ++mConnections;
      if (mResetsNewConnections) {
        aSocket.set_option(asio::socket_base::linger(true, 0));
        aSocket.close();
        Accept();
        return;
      }
      Read(std::make_shared<asio::ip::tcp::socket>(std::move(aSocket)),
           std::make_shared<std::string>());
      Accept();
    });
}

void FakeEndpoint::Read(const Socket& aSocket, const std::shared_ptr<std::string>& aBytes)
{
  const auto buffer = std::make_shared<std::array<char, 4096>>();
  aSocket->async_read_some(
    asio::buffer(*buffer),
    [this, aSocket, aBytes, buffer](const boost::system::error_code& aError, std::size_t aCount) {
      if (aError) {
        return;
      }
      aBytes->append(buffer->data(), aCount);
      const auto head = aBytes->find("\r\n\r\n");
      if (head != std::string::npos && aBytes->size() >= head + 4 + BodyLength(*aBytes)) {
        mRequests.push_back(*aBytes);
        const auto request = *aBytes;
        aBytes->clear();
        mHandler(request, aSocket);
      }
      Read(aSocket, aBytes);
    });
}

RelayFixture::RelayFixture() : mRouter(IncarnationId("test~1"), ZoneName("a"), TestBounds(), 1)
{
  RelayConfig config;
  config.mVersion = 1;
  RelayService service;
  service.mName = ServiceName("svc");
  service.mMaxConnections = 8;
  config.mServices = { service };
  config.mRoutes = { Route("chat", RequestKind::Stream, 3),
                     Route("order", RequestKind::NonIdempotent, 1),
                     Route("check", RequestKind::Idempotent, 2) };
  mRouter.SetConfig(std::make_shared<const ConfigIndex>(std::move(config)));
  mServer.Listen({ asio::ip::make_address("127.0.0.1"), 0 });
}

void RelayFixture::AddEndpoint(const std::string& aId, const std::string& aAddress)
{
  FleetEndpoint endpoint;
  endpoint.mId = EndpointId(aId);
  endpoint.mService = ServiceName("svc");
  endpoint.mAddress = aAddress;
  endpoint.mZone = ZoneName("a");
  endpoint.mVersion = "v1";
  endpoint.mSlots = 8;
  mRouter.Endpoints().Upsert(endpoint);
}

std::shared_ptr<asio::ip::tcp::socket> RelayFixture::Connect()
{
  auto socket = std::make_shared<asio::ip::tcp::socket>(mLoop);
  socket->connect(mServer.Address());
  return socket;
}

bool RelayFixture::RunUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    mLoop.restart();
    mLoop.run_one_for(milliseconds(20));
  }
  return aCondition();
}

void RelayFixture::Send(const std::shared_ptr<asio::ip::tcp::socket>& aSocket,
                        const std::string& aBytes)
{
  asio::write(*aSocket, asio::buffer(aBytes));
}

std::shared_ptr<std::string> RelayFixture::ReceiveAsync(
  const std::shared_ptr<asio::ip::tcp::socket>& aSocket)
{
  auto bytes = std::make_shared<std::string>();
  const auto index = mIsClosed.size();
  mIsClosed.push_back(false);
  const auto buffer = std::make_shared<std::array<char, 4096>>();
  const auto read = std::make_shared<std::function<void()>>();
  *read = [this, aSocket, bytes, buffer, read, index] {
    aSocket->async_read_some(asio::buffer(*buffer),
                             [this, bytes, buffer, read, index](
                               const boost::system::error_code& aError, std::size_t aCount) {
                               if (aError) {
                                 mIsClosed[index] = true;
                                 return;
                               }
                               bytes->append(buffer->data(), aCount);
                               (*read)();
                             });
  };
  (*read)();
  return bytes;
}

std::string CallerRequest(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aId,
                          const std::string& aBody)
{
  std::string request = aMethod + " " + aPath + " HTTP/1.1\r\nHost: site\r\n" +
                        "Skylarkchute-Request-Id: " + aId +
                        "\r\nSkylarkchute-Deadline-Ms: 3000\r\n";
  if (!aBody.empty()) {
    request += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return request + "\r\n" + aBody;
}

std::string SealedResponse(const std::string& aRequest, unsigned aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nSkylarkchute-Request-Id: " + HeaderOf(aRequest, "Skylarkchute-Request-Id") +
         "\r\nSkylarkchute-Response-Seal: s1\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string StreamResponseHead(const std::string& aRequest)
{
  return "HTTP/1.1 200 OK\r\nSkylarkchute-Request-Id: " +
         HeaderOf(aRequest, "Skylarkchute-Request-Id") +
         "\r\nSkylarkchute-Response-Seal: s1\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string EventChunk(int aId)
{
  const std::string event = "id: " + std::to_string(aId) + "\ndata: x\n\n";
  std::ostringstream chunk;
  chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
  return chunk.str();
}

void WriteAll(const FakeEndpoint::Socket& aSocket, const std::string& aBytes)
{
  boost::system::error_code ec;
  asio::write(*aSocket, asio::buffer(aBytes), ec);
}

} // namespace skylarkchute
