#include "PeerClient.h"

#include "JsonRpc.h"
#include "PeerHttp.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <stdexcept>

namespace skylarkchute {

namespace {

Poco::Timespan ToTimespan(std::chrono::milliseconds aDuration)
{
  return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

} // namespace

/** One persistent HTTP connection to a peer. Signs every request. */
class PeerClient::Connection final : public JsonRpcTransport
{
public:
  Connection(const PeerRecord& aPeer,
             const InstanceId& aSelf,
             const PeerSignature& aSignature,
             const Clock& aClock)
    : mPeer(aPeer)
    , mSelf(aSelf)
    , mSignature(aSignature)
    , mClock(aClock)
  {
  }

  /** Connects unless connected. @returns false when the peer cannot be reached */
  bool Connect(std::chrono::milliseconds aTimeout)
  {
    if (mSession) {
      mSession->setTimeout(ToTimespan(aTimeout));
      return true;
    }
    try {
      Poco::Net::StreamSocket socket;
      socket.connect(Poco::Net::SocketAddress(mPeer.mAddress, mPeer.mPeerPort),
                     ToTimespan(aTimeout));
      socket.setNoDelay(true);
      mSession = std::make_unique<Poco::Net::HTTPClientSession>(socket);
      mSession->setKeepAlive(true);
      mSession->setTimeout(ToTimespan(aTimeout));
      return true;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  std::string Exchange(const std::string& aRequest) override
  {
    try {
      return ExchangeHttp(aRequest);
    } catch (const Poco::Exception& error) {
      throw std::runtime_error(error.displayText());
    }
  }

  /** Returns whether the connection can be reused after the last exchange. */
  bool IsUsable() const { return mUsable; }

private:
  std::string ExchangeHttp(const std::string& aRequest)
  {
    mUsable = false;
    const auto at = mClock.WallNow();
    Poco::Net::HTTPRequest request("POST", kPeerPath, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setKeepAlive(true);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(aRequest.size()));
    request.set(kPeerFromHeader, mSelf.Value());
    request.set(kPeerTimeHeader, PeerTimeText(at));
    request.set(kPeerSignatureHeader,
                mSignature.Sign(mSelf, mPeer.mId, ParsePeerTime(PeerTimeText(at)), aRequest));
    mSession->sendRequest(request) << aRequest;
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(mSession->receiveResponse(response), body);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      throw std::runtime_error("HTTP status " + std::to_string(response.getStatus()));
    }
    mUsable = response.getKeepAlive();
    return body;
  }

  PeerRecord mPeer;
  InstanceId mSelf;
  const PeerSignature& mSignature;
  const Clock& mClock;
  std::unique_ptr<Poco::Net::HTTPClientSession> mSession;
  bool mUsable = false;
};

PeerClient::PeerClient(Options aOptions, const Clock& aClock, ReplyHandler aOnReply)
  : mOptions(std::move(aOptions))
  , mClock(aClock)
  , mOnReply(std::move(aOnReply))
  , mSignature(mOptions.mSharedKey)
{
  for (std::size_t n = 0; n < mOptions.mThreads; ++n) {
    mThreads.emplace_back([this] { RunWorker(); });
  }
}

PeerClient::~PeerClient()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWorkAvailable.notify_all();
  for (auto& it : mThreads) {
    it.join();
  }
}

void PeerClient::SetPeers(const std::vector<PeerRecord>& aPeers)
{
  std::vector<PeerReply> dropped;
  {
    const std::lock_guard lock(mMutex);
    std::map<InstanceId, Peer> peers;
    for (const auto& it : aPeers) {
      auto& peer = peers[it.mId];
      const auto known = mPeers.find(it.mId);
      if (known != mPeers.end()) {
        peer = std::move(known->second);
        mPeers.erase(known);
      }
      const bool moved =
        peer.mRecord.mAddress != it.mAddress || peer.mRecord.mPeerPort != it.mPeerPort;
      peer.mRecord = it;
      if (moved) {
        peer.mIdle.clear();
      }
    }
    for (const auto& [id, peer] : mPeers) {
      for (const auto& call : peer.mQueue) {
        dropped.push_back({ call.mId, call.mTo, Verdict::NotRun, false, "" });
      }
    }
    mPeers = std::move(peers);
  }
  for (const auto& it : dropped) {
    mOnReply(it);
  }
}

void PeerClient::Submit(const PeerCall& aCall)
{
  bool queued = false;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mPeers.find(aCall.mTo);
    if (it != mPeers.end() && it->second.mQueue.size() < mOptions.mMaxQueuedPerPeer) {
      it->second.mQueue.push_back(aCall);
      queued = true;
    }
  }
  if (queued) {
    mWorkAvailable.notify_one();
    return;
  }
  mOnReply({ aCall.mId, aCall.mTo, Verdict::NotRun, false, "" });
}

bool PeerClient::TakeWork(Work& aWork)
{
  auto it = mPeers.upper_bound(mLastServed);
  for (std::size_t n = 0; n < mPeers.size(); ++n, ++it) {
    if (it == mPeers.end()) {
      it = mPeers.begin();
    }
    auto& peer = it->second;
    if (peer.mQueue.empty() || peer.mInFlight >= mOptions.mMaxInFlightPerPeer) {
      continue;
    }
    aWork.mCall = std::move(peer.mQueue.front());
    peer.mQueue.pop_front();
    aWork.mRecord = peer.mRecord;
    if (!peer.mIdle.empty()) {
      aWork.mConnection = std::move(peer.mIdle.back());
      peer.mIdle.pop_back();
    }
    ++peer.mInFlight;
    mLastServed = it->first;
    return true;
  }
  return false;
}

void PeerClient::FinishWork(Work aWork, bool aKeepConnection)
{
  const std::lock_guard lock(mMutex);
  const auto it = mPeers.find(aWork.mCall.mTo);
  if (it == mPeers.end()) {
    return;
  }
  if (it->second.mInFlight > 0) {
    --it->second.mInFlight;
  }
  if (aKeepConnection) {
    it->second.mIdle.push_back(std::move(aWork.mConnection));
  }
  mWorkAvailable.notify_one();
}

void PeerClient::RunWorker()
{
  for (;;) {
    Work work;
    {
      std::unique_lock lock(mMutex);
      mWorkAvailable.wait(lock, [&] { return mStopping || TakeWork(work); });
      if (mStopping) {
        return;
      }
    }
    bool keepConnection = false;
    const auto reply = PerformCall(work, keepConnection);
    FinishWork(std::move(work), keepConnection);
    mOnReply(reply);
  }
}

PeerReply PeerClient::PerformCall(Work& aWork, bool& aKeepConnection)
{
  PeerReply reply{ aWork.mCall.mId, aWork.mCall.mTo, Verdict::NotRun, false, "" };
  if (!aWork.mConnection) {
    aWork.mConnection =
      std::make_unique<Connection>(aWork.mRecord, mOptions.mSelf, mSignature, mClock);
  }
  if (!aWork.mConnection->Connect(aWork.mCall.mTimeout)) {
    return reply;
  }
  const auto outcome = CallJsonRpc(*aWork.mConnection, aWork.mCall.mMethod, aWork.mCall.mParams);
  reply.mOk = outcome.mOk;
  reply.mResult = outcome.mResult;
  reply.mVerdict = outcome.mOk ? Verdict::Ran : Verdict::MayHaveRun;
  aKeepConnection = aWork.mConnection->IsUsable();
  return reply;
}

} // namespace skylarkchute
