#include "Membership.h"

#include "../events/PeersEvents.h"

#include <algorithm>

namespace skylarkchute {

Membership::Membership(Options aOptions)
  : mOptions(std::move(aOptions))
  , mLiveMembers{ mOptions.mSelf.mId }
{
}

const PeerRecord* Membership::Find(const InstanceId& aId) const
{
  const auto it = mPeers.find(aId);
  return it == mPeers.end() ? nullptr : &it->second.mRecord;
}

bool Membership::IsLive(const Peer& aPeer, TimePoint aNow) const
{
  const bool known = aPeer.mListed || aNow < aPeer.mUnlistedExpiresAt;
  return known && !aPeer.mRecord.mLeaving && !aPeer.mGoodbye && !aPeer.mSuspected;
}

std::vector<LogEvent> Membership::ApplyList(const std::vector<PeerRecord>& aRecords, TimePoint aNow)
{
  for (auto& it : mPeers) {
    it.second.mListed = false;
  }
  for (const auto& it : aRecords) {
    if (it.mId == mOptions.mSelf.mId) {
      continue;
    }
    auto& peer = mPeers[it.mId];
    const bool moved =
      peer.mRecord.mAddress != it.mAddress || peer.mRecord.mPeerPort != it.mPeerPort;
    if (moved) {
      // A changed address means a new process with the same id, whose failures count from zero.
      peer = Peer();
    }
    peer.mRecord = it;
    peer.mListed = true;
  }
  return UpdateLiveMembers(aNow);
}

std::vector<LogEvent> Membership::RecordMessage(const PeerRecord& aRecord, TimePoint aNow)
{
  if (aRecord.mId == mOptions.mSelf.mId) {
    return {};
  }
  auto& peer = mPeers[aRecord.mId];
  peer.mRecord = aRecord;
  peer.mUnlistedExpiresAt = aNow + mOptions.mUnlistedLifetime;
  peer.mGoodbye = aRecord.mLeaving;
  RecordSuccess(peer, aNow);
  return UpdateLiveMembers(aNow);
}

std::vector<LogEvent> Membership::RecordReply(const PeerReply& aReply, TimePoint aNow)
{
  const auto it = mPeers.find(aReply.mFrom);
  if (it == mPeers.end()) {
    return {};
  }
  if (aReply.mOk) {
    RecordSuccess(it->second, aNow);
  } else {
    RecordFailure(it->second, aNow);
  }
  return UpdateLiveMembers(aNow);
}

void Membership::RecordSuccess(Peer& aPeer, TimePoint aNow) const
{
  aPeer.mFailures = 0;
  aPeer.mOnProbation = false;
  if (aPeer.mSuspected && aNow >= aPeer.mHoldDownUntil) {
    aPeer.mSuspected = false;
  }
  if (aPeer.mSuspicions == 1 && aPeer.mSuspected) {
    // The first suspicion of a stable instance ends with its first successful call, even before
    // the hold-down is over.
    aPeer.mSuspected = false;
  }
  if (!aPeer.mSuspected && aNow - aPeer.mLastSuspicion >= mOptions.mStableAfter) {
    aPeer.mSuspicions = 0;
  }
}

void Membership::RecordFailure(Peer& aPeer, TimePoint aNow) const
{
  if (aPeer.mSuspected) {
    return;
  }
  ++aPeer.mFailures;
  if (!aPeer.mOnProbation && aPeer.mFailures < mOptions.mFailureThreshold) {
    return;
  }
  constexpr std::uint32_t kMaxDoublings = 16;
  const auto doublings = std::min(aPeer.mSuspicions, kMaxDoublings);
  const auto holdDown = mOptions.mInitialHoldDown * (1U << doublings);
  ++aPeer.mSuspicions;
  aPeer.mSuspected = true;
  aPeer.mOnProbation = false;
  aPeer.mFailures = 0;
  aPeer.mLastSuspicion = aNow;
  aPeer.mHoldDownUntil =
    aNow + std::min<std::chrono::milliseconds>(holdDown, mOptions.mMaxHoldDown);
}

std::vector<LogEvent> Membership::RecordGoodbye(const InstanceId& aId, TimePoint aNow)
{
  const auto it = mPeers.find(aId);
  if (it != mPeers.end()) {
    it->second.mGoodbye = true;
  }
  return UpdateLiveMembers(aNow);
}

std::vector<LogEvent> Membership::Tick(TimePoint aNow)
{
  for (auto& [id, peer] : mPeers) {
    if (peer.mSuspected && aNow >= peer.mHoldDownUntil) {
      peer.mSuspected = false;
      peer.mOnProbation = true;
    }
  }
  return UpdateLiveMembers(aNow);
}

std::vector<LogEvent> Membership::UpdateLiveMembers(TimePoint aNow)
{
  std::vector<LogEvent> events;
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    auto& peer = it->second;
    const bool live = IsLive(peer, aNow);
    if (live != peer.mWasLive) {
      const auto* description = live ? &kPeerJoined : &kPeerLeft;
      events.push_back({ !live && peer.mSuspected ? &kPeerSuspected : description,
                         { { "peer", it->first.Value() } } });
    }
    peer.mWasLive = live;
    const bool forgotten = !peer.mListed && aNow >= peer.mUnlistedExpiresAt;
    it = forgotten ? mPeers.erase(it) : std::next(it);
  }
  if (events.empty()) {
    return events;
  }
  ++mGeneration;
  mLivePeers.clear();
  mLiveMembers = { mOptions.mSelf.mId };
  for (const auto& [id, peer] : mPeers) {
    if (peer.mWasLive) {
      mLivePeers.push_back(peer.mRecord);
      mLiveMembers.push_back(id);
    }
  }
  std::sort(mLiveMembers.begin(), mLiveMembers.end());
  return events;
}

} // namespace skylarkchute
