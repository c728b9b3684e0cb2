#include "PartFetcher.h"

#include "../events/BundleEvents.h"
#include "../lifecycle/ObjectKeys.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Requests to the zone's owner before the platform and other peers are tried. */
constexpr std::uint32_t kMaxOwnerAttempts = 6;
constexpr std::chrono::milliseconds kOwnerRetryDelay{ 100 };
/** Maximum number of concurrent part reads from the platform. */
constexpr std::size_t kMaxPartCalls = 16;
/** Maximum length of mZoneOrder and mFleetOrder. */
constexpr std::size_t kMaxPeersPerOrder = 8;
/** The driver that executes the calls applies mCallTimeout itself. This multiple of it is the
    deadline if the driver delivers no reply at all. */
constexpr int kDeadlineFactor = 2;

} // namespace

PartFetcher::PartFetcher(const FollowerOptions& aOptions, PartCache& aCache)
  : mOptions(aOptions)
  , mCache(aCache)
  , mDelay(aOptions.mMinRetryDelay, aOptions.mMaxRetryDelay, aOptions.mSeed + 1)
{
}

void PartFetcher::ApplyFleet(const std::vector<FleetMember>& aFleet)
{
  mFleet = aFleet;
}

void PartFetcher::Begin(const BundleHead& aHead, TimePoint aNow)
{
  Stop();
  mHead = aHead;
  mAttempt = 0;
  mNextRoundAt = aNow;
  mDelay.Reset();
  std::vector<InstanceId> zone{ mOptions.mSelf };
  std::vector<InstanceId> others;
  for (const auto& it : mFleet) {
    if (it.mId == mOptions.mSelf) {
      continue;
    }
    others.push_back(it.mId);
    if (it.mZone == mOptions.mZone) {
      zone.push_back(it.mId);
    }
  }
  mZoneOrder = RendezvousOrder(aHead.mBundle.Value(), zone, kMaxPeersPerOrder);
  mFleetOrder =
    RendezvousOrder(aHead.mBundle.Value() + mOptions.mSelf.Value(), others, kMaxPeersPerOrder);
}

void PartFetcher::Stop()
{
  mHead.reset();
  mCalls.clear();
  mPeerRequest.reset();
  mRoundActive = false;
}

bool PartFetcher::ShouldAskOwner() const
{
  return mAttempt < kMaxOwnerAttempts && mZoneOrder.front() != mOptions.mSelf;
}

std::optional<InstanceId> PartFetcher::SelectPeer() const
{
  if (ShouldAskOwner()) {
    return mZoneOrder.front();
  }
  if (mAttempt % 2 == 0 || mFleetOrder.empty()) {
    return std::nullopt;
  }
  return mFleetOrder[(mAttempt / 2) % mFleetOrder.size()];
}

void PartFetcher::Poll(std::uint64_t& aNextId, TimePoint aNow, FollowerOutput& aOutput)
{
  if (!mHead) {
    return;
  }
  if (mRoundActive && aNow >= mDeadline) {
    EndRound(aNow);
  }
  if (mRoundActive || aNow < mNextRoundAt) {
    return;
  }
  const auto missing = mCache.MissingOf(*mHead);
  if (missing.empty()) {
    return;
  }
  mRoundActive = true;
  mDeadline = aNow + mOptions.mCallTimeout * kDeadlineFactor;
  const auto peer = SelectPeer();
  if (peer) {
    RequestFromPeer(*peer, aNextId, aOutput);
    return;
  }
  RequestFromPlatform(missing, aNextId, aOutput);
}

void PartFetcher::RequestFromPeer(const InstanceId& aPeer,
                                  std::uint64_t& aNextId,
                                  FollowerOutput& aOutput)
{
  PeerPartsRequest request;
  request.mId = aNextId++;
  request.mTo = aPeer;
  request.mKnownGeneration = mHead->mGeneration;
  request.mHashes = mCache.MissingOf(*mHead);
  mPeerRequest = request.mId;
  aOutput.mPeerRequests.push_back(std::move(request));
}

void PartFetcher::RequestFromPlatform(const std::vector<std::string>& aMissing,
                                      std::uint64_t& aNextId,
                                      FollowerOutput& aOutput)
{
  const auto count = std::min(aMissing.size(), kMaxPartCalls);
  for (std::size_t n = 0; n < count; ++n) {
    ObjectCall call;
    call.mId = aNextId++;
    call.mPurpose = CallPurpose::Bundle;
    call.mTimeout = mOptions.mCallTimeout;
    call.mOperation = GetObject{ PartKey(aMissing[n]) };
    mCalls.push_back({ call.mId, aMissing[n] });
    aOutput.mCalls.push_back(std::move(call));
  }
}

bool PartFetcher::OnReply(const ObjectReply& aReply, TimePoint aNow, FollowerOutput& aOutput)
{
  const auto it = std::find_if(
    mCalls.begin(), mCalls.end(), [&](const PartCall& aCall) { return aCall.mId == aReply.mId; });
  if (it == mCalls.end()) {
    return false;
  }
  const auto hash = it->mHash;
  mCalls.erase(it);
  const auto good =
    aReply.mStatus == ObjectStatus::Ok && AddPart({ "", hash, aReply.mBody }, "platform", aOutput);
  if (!mCalls.empty()) {
    return true;
  }
  if (good) {
    // Parts beyond kMaxPartCalls are read in the next round, without delay.
    mRoundActive = false;
    mNextRoundAt = aNow;
    return true;
  }
  EndRound(aNow);
  return true;
}

bool PartFetcher::OnAnswer(const PeerPartsAnswer& aAnswer, TimePoint aNow, FollowerOutput& aOutput)
{
  if (mPeerRequest != aAnswer.mId) {
    return false;
  }
  mPeerRequest.reset();
  const auto fromOwner = ShouldAskOwner();
  bool damaged = false;
  const auto missing = mCache.MissingOf(*mHead);
  for (const auto& it : aAnswer.mParts) {
    if (std::find(missing.begin(), missing.end(), it.mHash) == missing.end()) {
      continue;
    }
    damaged = !AddPart(it, aAnswer.mHead.mFrom.Value(), aOutput) || damaged;
  }
  EndRound(aNow);
  if (damaged) {
    SkipOwner();
  } else if (fromOwner) {
    mDelay.Reset();
    mNextRoundAt = aNow + kOwnerRetryDelay;
  }
  return true;
}

void PartFetcher::OnPeerFailure(std::uint64_t aId, TimePoint aNow)
{
  if (mPeerRequest != aId) {
    return;
  }
  mPeerRequest.reset();
  EndRound(aNow);
  SkipOwner();
}

bool PartFetcher::AddPart(const BundlePart& aPart,
                          const std::string& aSource,
                          FollowerOutput& aOutput)
{
  if (mCache.Add(aPart)) {
    return true;
  }
  aOutput.mEvents.push_back({ &kPartDamaged, { { "hash", aPart.mHash }, { "source", aSource } } });
  return false;
}

void PartFetcher::EndRound(TimePoint aNow)
{
  mRoundActive = false;
  mCalls.clear();
  mPeerRequest.reset();
  ++mAttempt;
  mNextRoundAt = aNow + mDelay.NextAfterFailure();
}

void PartFetcher::SkipOwner()
{
  mAttempt = std::max(mAttempt, kMaxOwnerAttempts);
}

} // namespace skylarkchute
