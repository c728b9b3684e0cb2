#include "PeerMesh.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr const char* kExchangeMethod = "fleet.exchange";
constexpr const char* kRpcPath = "/rpc";

/** Instances called at each tick. Two are enough for a change to reach a few hundred instances
    within a handful of ticks. */
constexpr std::size_t kCallsPerTick = 2;

constexpr milliseconds kCallTimeout{ 700 };

/** An instance that was not heard from for this long no longer counts as live; several calls have
    failed by then. */
constexpr milliseconds kLivenessTimeout{ 5000 };

} // namespace

PeerMesh::PeerMesh(boost::asio::io_context& aContext,
                   PeerMeshOwner& aOwner,
                   InstanceEntry aSelf,
                   std::vector<std::string> aSeeds,
                   std::uint64_t aRandomSeed)
  : mContext(aContext)
  , mOwner(aOwner)
  , mSelf(std::move(aSelf))
  , mRandom(static_cast<std::minstd_rand::result_type>(aRandomSeed % 2147483646U + 1))
  , mDispatcher({ kExchangeMethod },
                [this](const std::string&, const std::string& aParams, std::string& aResult) {
                  const auto exchange = DecodeExchange(aParams);
                  if (!exchange) {
                    return false;
                  }
                  HandleExchange(*exchange);
                  aResult = EncodeExchange(mOwner.MakeExchange(&exchange->mKinds));
                  return true;
                })
{
  SetSeeds(std::move(aSeeds));
}

void PeerMesh::SetSeeds(std::vector<std::string> aSeeds)
{
  mSeeds = std::move(aSeeds);
  std::erase(mSeeds, mSelf.mPeerAddress);
}

void PeerMesh::SetPeer(const InstanceEntry& aEntry)
{
  if (aEntry.mName == mSelf.mName) {
    return;
  }
  auto& peer = mPeers[aEntry.mName];
  if (!peer.mCall || peer.mEntry.mPeerAddress != aEntry.mPeerAddress) {
    peer.mCall = std::make_shared<HttpCall>(mContext, aEntry.mPeerAddress);
  }
  if (peer.mKnownSince == TimePoint{}) {
    peer.mKnownSince = std::chrono::steady_clock::now();
  }
  peer.mEntry = aEntry;
}

void PeerMesh::RemovePeer(const std::string& aName)
{
  const auto found = mPeers.find(aName);
  if (found != mPeers.end() && !found->second.mIsLive) {
    found->second.mCall->Cancel();
    mPeers.erase(found);
  }
}

void PeerMesh::Tick(TimePoint aNow)
{
  std::vector<std::string> names;
  for (auto& [name, peer] : mPeers) {
    const bool isLive = peer.mLastHeard != TimePoint{} && aNow - peer.mLastHeard < kLivenessTimeout;
    if (isLive != peer.mIsLive) {
      peer.mIsLive = isLive;
      mOwner.OnPeerChanged(name, isLive);
    }
    names.push_back(name);
  }
  if (names.empty()) {
    CallSeed();
    return;
  }
  std::shuffle(names.begin(), names.end(), mRandom);
  names.resize(std::min(names.size(), kCallsPerTick));
  for (const auto& it : names) {
    CallPeer(it);
  }
}

void PeerMesh::CallPeer(const std::string& aName)
{
  auto& peer = mPeers[aName];
  if (peer.mCall->IsBusy()) {
    return;
  }
  const auto params =
    EncodeExchange(mOwner.MakeExchange(peer.mKinds.empty() ? nullptr : &peer.mKinds));
  peer.mCall->Start("POST",
                    kRpcPath,
                    BuildJsonRpcRequest(kExchangeMethod, params),
                    kCallTimeout,
                    [this](const CallResult& aResult) { OnAnswer(aResult); });
}

void PeerMesh::CallSeed()
{
  if (mSeeds.empty() || (mSeedCall && mSeedCall->IsBusy())) {
    return;
  }
  mSeedCall = std::make_shared<HttpCall>(mContext, mSeeds[mNextSeedIndex++ % mSeeds.size()]);
  mSeedCall->Start(
    "POST",
    kRpcPath,
    BuildJsonRpcRequest(kExchangeMethod, EncodeExchange(mOwner.MakeExchange(nullptr))),
    kCallTimeout,
    [this](const CallResult& aResult) { OnAnswer(aResult); });
}

void PeerMesh::OnAnswer(const CallResult& aResult)
{
  if (!aResult.mHasResponse) {
    return;
  }
  const auto answer = ReadJsonRpcResponse(aResult.mBody);
  const auto exchange = answer.mOk ? DecodeExchange(answer.mResult) : std::nullopt;
  if (exchange) {
    HandleExchange(*exchange);
  }
}

void PeerMesh::HandleExchange(const PeerExchange& aExchange)
{
  if (aExchange.mFrom.mName == mSelf.mName) {
    return;
  }
  SetPeer(aExchange.mFrom);
  auto& peer = mPeers[aExchange.mFrom.mName];
  peer.mLastHeard = std::chrono::steady_clock::now();
  peer.mKinds = aExchange.mKinds;
  mOwner.OnExchange(aExchange);
}

std::string PeerMesh::Serve(const std::string& aRequest)
{
  return mDispatcher.Serve(aRequest);
}

std::vector<InstanceId> PeerMesh::LivePeers(TimePoint aNow) const
{
  std::vector<InstanceId> live;
  for (const auto& [name, peer] : mPeers) {
    if (peer.mLastHeard != TimePoint{} && aNow - peer.mLastHeard < kLivenessTimeout) {
      live.emplace_back(name);
    }
  }
  return live;
}

std::vector<std::string> PeerMesh::PeersSilentFor(milliseconds aTime, TimePoint aNow) const
{
  std::vector<std::string> silent;
  for (const auto& [name, peer] : mPeers) {
    if (aNow - std::max(peer.mLastHeard, peer.mKnownSince) >= aTime) {
      silent.push_back(name);
    }
  }
  return silent;
}

} // namespace skylarkchute
