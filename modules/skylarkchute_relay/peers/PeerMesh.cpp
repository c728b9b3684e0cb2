#include "PeerMesh.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr const char* kExchangeMethod = "fleet.exchange";
constexpr const char* kRpcPath = "/rpc";

constexpr milliseconds kCallTimeout{ 700 };

/** Limit for a call whose response brings newer objects. */
constexpr milliseconds kFetchTimeout{ 2000 };

/** Larger changes are not sent along with a request, since the receiver may have them from another
    instance by then. */
constexpr std::size_t kMaxRequestBytes = 2048;
constexpr std::size_t kMaxResponseBytes = static_cast<std::size_t>(-1);

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

PeerMesh::PeerMesh(boost::asio::io_context& aContext,
                   PeerMeshOwner& aOwner,
                   MemberRecord aSelf,
                   std::vector<std::string> aSeeds,
                   std::uint64_t aRandomSeed)
  : mContext(aContext)
  , mOwner(aOwner)
  , mSelf(std::move(aSelf))
  , mMembers(mSelf, aRandomSeed)
  , mSpread(mSelf.mZone, aRandomSeed)
  , mDispatcher({ kExchangeMethod },
                [this](const std::string&, const std::string& aParams, std::string& aResult) {
                  const auto exchange = DecodeExchange(aParams);
                  if (!exchange) {
                    return false;
                  }
                  const auto& sender = exchange->mMembership.mFrom.mRecord.mName;
                  HandleExchange(*exchange);
                  aResult = EncodeExchange(MakeResponse(sender, exchange->mKinds));
                  return true;
                })
{
  SetSeeds(std::move(aSeeds));
}

void PeerMesh::Introduce(const MemberRecord& aRecord)
{
  mMembers.Introduce(aRecord, Now());
}

void PeerMesh::Tick(TimePoint aNow)
{
  const auto next = mMembers.Tick(aNow);
  ReportChanges();
  if (const auto contact = mMembers.ContactToCall(aNow)) {
    CallSeed(*contact);
  }
  if (next) {
    Call(*next);
  }
  std::erase_if(mPeers, [this](const auto& aEntry) {
    return mMembers.Find(aEntry.first) == nullptr && !aEntry.second.mCall->IsBusy();
  });
}

void PeerMesh::ReportChanges()
{
  for (const auto& it : mMembers.TakeChanges()) {
    mOwner.OnPeerChanged(it);
  }
}

void PeerMesh::OnPause(TimePoint aNow)
{
  mMembers.OnPause(aNow);
  Tick(aNow);
}

void PeerMesh::CallAny()
{
  Call(mSpread.AnyOf(mMembers.LiveMembers()));
}

void PeerMesh::SpreadChange(ChangeSpread::Source aSource)
{
  for (const auto& it : mSpread.Receivers(mMembers.LiveMembers(), aSource)) {
    Call(it);
  }
}

/** Returns the calls to a member, or null when it is unknown. */
PeerMesh::Peer* PeerMesh::PeerFor(const std::string& aName)
{
  const auto* member = mMembers.Find(aName);
  if (member == nullptr) {
    return nullptr;
  }
  auto& peer = mPeers[aName];
  if (!peer.mCall || peer.mAddress != member->mRecord.mAddress) {
    if (peer.mCall) {
      peer.mCall->Cancel();
      mSource = mSource == aName ? std::string() : mSource;
    }
    peer.mAddress = member->mRecord.mAddress;
    peer.mCall = std::make_shared<HttpCall>(mContext, peer.mAddress);
  }
  return &peer;
}

void PeerMesh::Call(const std::string& aName)
{
  auto* peer = PeerFor(aName);
  if (peer == nullptr) {
    return;
  }
  if (peer->mCall->IsBusy()) {
    peer->mCallsAgain = true;
    return;
  }
  peer->mCallsAgain = false;
  auto exchange = MakeRequest(aName, peer->mKinds.empty() ? nullptr : &peer->mKinds);
  peer->mSentProbe = std::exchange(peer->mProbe, {});
  peer->mSentReached = std::exchange(peer->mReached, {});
  exchange.mProbe = peer->mSentProbe;
  exchange.mReached.assign(peer->mSentReached.begin(), peer->mSentReached.end());
  peer->mCall->Start("POST",
                     kRpcPath,
                     BuildJsonRpcRequest(kExchangeMethod, EncodeExchange(exchange)),
                     mSource == aName ? kFetchTimeout : kCallTimeout,
                     [this, aName](const CallResult& aResult) { OnPeerAnswer(aName, aResult); });
}

void PeerMesh::CallSeed(const std::string& aAddress)
{
  if (mSeedCall && mSeedCall->IsBusy()) {
    return;
  }
  mSeedCall = std::make_shared<HttpCall>(mContext, aAddress);
  const auto exchange = MakeRequest({}, nullptr);
  mSeedCall->Start("POST",
                   kRpcPath,
                   BuildJsonRpcRequest(kExchangeMethod, EncodeExchange(exchange)),
                   kFetchTimeout,
                   [this](const CallResult& aResult) { HandleAnswer(aResult); });
}

PeerExchange PeerMesh::MakeRequest(const std::string& aReceiver, const KnownKinds* aKnown)
{
  PeerExchange exchange;
  exchange.mMembership = mMembers.RequestFor(aReceiver, Now());
  mOwner.FillExchange(exchange, aKnown, kMaxRequestBytes);
  return exchange;
}

PeerExchange PeerMesh::MakeResponse(const std::string& aReceiver, const KnownKinds& aKnown)
{
  PeerExchange exchange;
  exchange.mMembership = mMembers.ResponseFor(aReceiver, Now());
  mOwner.FillExchange(exchange, &aKnown, kMaxResponseBytes);
  return exchange;
}

void PeerMesh::OnPeerAnswer(const std::string& aName, const CallResult& aResult)
{
  const bool isAnswered = HandleAnswer(aResult);
  if (mSource == aName) {
    mSource.clear();
  }
  const auto found = mPeers.find(aName);
  if (found == mPeers.end()) {
    return;
  }
  if (!isAnswered) {
    if (!aResult.mHasResponse && aResult.mUsedKeptConnection) {
      DropIdleConnections();
      Repeat(aName, found->second);
    }
    ProbeThroughOthers(aName);
  } else {
    for (const auto& it : std::exchange(found->second.mRequesters, {})) {
      if (auto* requester = PeerFor(it)) {
        requester->mReached.insert(aName);
        Call(it);
      }
    }
  }
  found->second.mRequesters.clear();
  if (found->second.mCallsAgain && isAnswered) {
    Call(aName);
  }
}

/** Closes the connections that wait for a call, after one of them proved to be lost: what silences
    one without a reset often silences all that are open. */
void PeerMesh::DropIdleConnections()
{
  for (auto& [name, peer] : mPeers) {
    peer.mCall->DropIdleConnection();
  }
}

/** Makes a call again that was lost with a kept connection. */
void PeerMesh::Repeat(const std::string& aName, Peer& aPeer)
{
  if (aPeer.mProbe.empty()) {
    aPeer.mProbe = std::move(aPeer.mSentProbe);
  }
  aPeer.mReached.merge(aPeer.mSentReached);
  Call(aName);
}

void PeerMesh::ProbeThroughOthers(const std::string& aName)
{
  for (const auto& it : mMembers.OnProbeFailed(aName)) {
    if (auto* helper = PeerFor(it)) {
      helper->mProbe = aName;
      Call(it);
    }
  }
}

/** @returns whether the call has a valid answer */
bool PeerMesh::HandleAnswer(const CallResult& aResult)
{
  const auto answer = aResult.mHasResponse ? ReadJsonRpcResponse(aResult.mBody) : JsonRpcResult{};
  const auto exchange = answer.mOk ? DecodeExchange(answer.mResult) : std::nullopt;
  if (exchange) {
    HandleExchange(*exchange);
  }
  return exchange.has_value();
}

void PeerMesh::HandleExchange(const PeerExchange& aExchange)
{
  const auto& name = aExchange.mMembership.mFrom.mRecord.mName;
  if (name.empty() || name == mSelf.mName) {
    return;
  }
  const auto now = Now();
  mMembers.OnMessage(aExchange.mMembership, now);
  for (const auto& it : aExchange.mReached) {
    mMembers.OnReached(it, now);
  }
  ReportChanges();
  auto* peer = PeerFor(name);
  peer->mKinds = aExchange.mKinds;
  mOwner.OnExchange(aExchange);
  if (auto* target = aExchange.mProbe.empty() ? nullptr : PeerFor(aExchange.mProbe)) {
    target->mRequesters.insert(name);
    Call(aExchange.mProbe);
  }
  const bool isFetching = !mSource.empty() && now - mSourceSince < kCallTimeout;
  if (!isFetching && mOwner.IsBehind(aExchange.mKinds)) {
    mSource = name;
    mSourceSince = now;
    Call(name);
  }
}

std::string PeerMesh::Serve(const std::string& aRequest)
{
  return mDispatcher.Serve(aRequest);
}

} // namespace skylarkchute
