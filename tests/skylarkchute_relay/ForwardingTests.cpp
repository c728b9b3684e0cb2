#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

/** Two relays on one loop. `mCut` is partitioned from the endpoints: its connections to them are
    refused. `mHelper` reaches them and accepts forwarded requests. */
class PartitionFixture
{
public:
  explicit PartitionFixture(FakeEndpoint::RequestHandler aHandler)
    : mEndpoint(mCut.mLoop, std::move(aHandler))
    , mClosed(mCut.mLoop, [](const std::string&, const FakeEndpoint::Socket&) {})
    , mHelperContext{ mCut.mLoop,         mHelper.mRouter,       mHelperPool,  mHelperProbe,
                      mHelperQueue,       mHelper.mAnswerMemory, mHelper.mLog, mHelper.mMetrics,
                      mHelper.mIsLeaving, mHelper.mRefusesNew }
    , mForwardServer(mHelperContext, RequestOrigin::Instance)
  {
    mClosed.StopListening();
    for (const auto* id : { "e1", "e2", "e3", "e4" }) {
      mCut.AddEndpoint(id, mClosed.Address());
      mHelper.AddEndpoint(id, mEndpoint.Address());
    }
    mForwardServer.Listen({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    mCut.mRouter.Forwarding().OnPeer(
      "helper", "127.0.0.1:" + std::to_string(mForwardServer.Address().port()), false);
  }

  /** Sends a request to the partitioned relay.
      @returns the whole answer */
  std::string Request(const std::string& aMethod, const std::string& aPath, const std::string& aId)
  {
    const auto caller = mCut.Connect();
    const auto answer = mCut.ReceiveAsync(caller);
    mCut.Send(caller, CallerRequest(aMethod, aPath, aId, "body"));
    const auto isWhole = [&] {
      const auto head = answer->find("\r\n\r\n");
      return head != std::string::npos && (answer->find("\r\n0\r\n\r\n") != std::string::npos ||
                                           answer->find("Content-Length") < head);
    };
    mCut.RunUntil(isWhole);
    return *answer;
  }

  RelayFixture mCut;
  RelayFixture mHelper;
  FakeEndpoint mEndpoint;
  FakeEndpoint mClosed;
  EndpointPool mHelperPool{ mCut.mLoop };
  CrashProbe mHelperProbe{ mCut.mLoop, mHelper.mRouter, mHelper.mLog };
  StartupQueue mHelperQueue{ mCut.mLoop };
  RelayContext mHelperContext;
  CallerServer mForwardServer;
};

void AnswerOk(const std::string& aRequest, const FakeEndpoint::Socket& aSocket)
{
  WriteAll(aSocket, SealedResponse(aRequest, 200, "done"));
}

} // namespace

TEST_CASE("a partitioned instance serves its callers through another one")
{
  PartitionFixture fleet(AnswerOk);
  for (const auto* path : { "/order/1", "/check/1" }) {
    for (int n = 0; n < 5; ++n) {
      const auto answer = fleet.Request("POST", path, "r" + std::to_string(n) + path[1]);
      INFO(answer);
      CHECK(answer.find("HTTP/1.1 200") == 0);
      CHECK(answer.find("Skylarkchute-Response-Seal: s1") != std::string::npos);
    }
  }
  CHECK(fleet.mEndpoint.mRequests.size() == 10);
  CHECK(fleet.mCut.mRouter.Forwarding().IsPartitioned());
}

TEST_CASE("a forwarded stream reaches the caller whole, and the endpoint gets no key")
{
  PartitionFixture fleet([](const std::string& aRequest, const FakeEndpoint::Socket& aSocket) {
    WriteAll(aSocket, StreamResponseHead(aRequest) + EventChunk(1) + EventChunk(2) + "0\r\n\r\n");
  });
  const auto answer = fleet.Request("POST", "/chat/1", "r1");
  CHECK(answer.find("id: 1\ndata: x\n\nid: 2\ndata: x\n\n") != std::string::npos);
  CHECK(answer.find("\r\n0\r\n\r\n") != std::string::npos);
  REQUIRE(fleet.mEndpoint.mRequests.size() == 1);
  CHECK(fleet.mEndpoint.mRequests[0].find("Skylarkchute-Credential") == std::string::npos);
  CHECK(fleet.mEndpoint.mRequests[0].find("Skylarkchute-Request-Id: r1\r\n") != std::string::npos);
}

TEST_CASE("a forwarded request is not forwarded again, and its rejection is truthful")
{
  PartitionFixture fleet(AnswerOk);
  for (const auto* id : { "e1", "e2", "e3", "e4" }) {
    fleet.mHelper.AddEndpoint(id, fleet.mClosed.Address());
  }
  fleet.mHelper.mRouter.Forwarding().OnPeer(
    "other", "127.0.0.1:" + std::to_string(fleet.mForwardServer.Address().port()), false);
  const auto answer = fleet.Request("POST", "/order/1", "r1");
  CHECK(answer.find("HTTP/1.1 503") == 0);
  CHECK(fleet.mEndpoint.mRequests.empty());
}

TEST_CASE("a forwarded order that may have run is not sent again")
{
  PartitionFixture fleet(
    [](const std::string&, const FakeEndpoint::Socket& aSocket) { aSocket->close(); });
  const auto answer = fleet.Request("POST", "/order/1", "r1");
  CHECK(answer.find("HTTP/1.1 502") == 0);
  CHECK(fleet.mEndpoint.mRequests.size() == 1);
}

TEST_CASE("an instance that reaches an endpoint again stops forwarding")
{
  PartitionFixture fleet(AnswerOk);
  for (int n = 0; n < 4; ++n) {
    fleet.Request("POST", "/check/1", "a" + std::to_string(n));
  }
  REQUIRE(fleet.mCut.mRouter.Forwarding().IsPartitioned());
  for (const auto* id : { "e1", "e2", "e3", "e4" }) {
    fleet.mCut.AddEndpoint(id, fleet.mEndpoint.Address());
  }
  fleet.mCut.RunUntil([until = std::chrono::steady_clock::now() + PeerForwarding::kProbeInterval] {
    return std::chrono::steady_clock::now() > until;
  });
  CHECK(fleet.Request("POST", "/check/1", "b1").find("HTTP/1.1 200") == 0);
  CHECK_FALSE(fleet.mCut.mRouter.Forwarding().IsPartitioned());
}
