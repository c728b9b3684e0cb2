#include "PeerForwarding.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** An instance counts as partitioned once one in kPartitionShare endpoints in a row, within these
    bounds, or all of them if there are fewer, could not be reached within kEvidenceLifetime and
    without an answer of any other. Where many endpoints crash at once, a few in a row are down. */
constexpr std::size_t kPartitionShare = 10;
constexpr std::size_t kMinPartitionEndpoints = 3;
constexpr std::size_t kMaxPartitionEndpoints = 8;
constexpr milliseconds kEvidenceLifetime{ 2000 };

/** Maximum number of requests that this instance forwards to one other at a time. */
constexpr std::uint32_t kMaxOutstanding = 128;

/** An instance that rejects a request is avoided for this long, doubled with each further one. */
constexpr milliseconds kInitialAvoidance{ 200 };
constexpr std::uint32_t kMaxDoublings = 3;

/** Removes the elements for which a condition holds, unless it holds for all. */
template<typename Element, typename Condition>
void EraseUnlessAll(std::vector<Element>& aElements, const Condition& aCondition)
{
  if (!std::all_of(aElements.begin(), aElements.end(), aCondition)) {
    std::erase_if(aElements, aCondition);
  }
}

} // namespace

void PeerForwarding::OnPeer(const std::string& aName,
                            const std::string& aAddress,
                            bool aIsPartitioned,
                            ZoneName aZone)
{
  auto& peer = mPeers[aName];
  peer.mName = aName;
  peer.mAddress = aAddress;
  peer.mIsPartitioned = aIsPartitioned;
  peer.mZone = std::move(aZone);
}

void PeerForwarding::KeepPeers(const std::vector<InstanceId>& aLive)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aEntry.second.mOutstanding == 0 &&
           std::find(aLive.begin(), aLive.end(), InstanceId(aEntry.first)) == aLive.end();
  });
}

bool PeerForwarding::OnReached()
{
  mNotReached.clear();
  return std::exchange(mIsPartitioned, false);
}

void PeerForwarding::OnNotReached(const EndpointId& aEndpoint,
                                  std::size_t aEndpoints,
                                  TimePoint aNow)
{
  if (mIsPartitioned) {
    return;
  }
  mNotReached[aEndpoint] = aNow;
  std::erase_if(mNotReached,
                [&](const auto& aEntry) { return aNow - aEntry.second > kEvidenceLifetime; });
  const auto required =
    std::clamp(aEndpoints / kPartitionShare, kMinPartitionEndpoints, kMaxPartitionEndpoints);
  mIsPartitioned = mNotReached.size() >= std::min(required, aEndpoints);
  mNextProbe = aNow + kProbeInterval;
}

bool PeerForwarding::TakeProbe(TimePoint aNow)
{
  if (aNow < mNextProbe) {
    return false;
  }
  mNextProbe = aNow + kProbeInterval;
  return true;
}

PeerForwarding::Peer* PeerForwarding::Choose(
  std::uint64_t aTieBreaker,
  TimePoint aNow,
  const std::vector<ZoneName>& aZones,
  const std::function<bool(const ZoneName&)>& aMayReceive,
  const std::vector<EndpointId>& aTried)
{
  std::vector<Peer*> candidates;
  for (auto& [name, peer] : mPeers) {
    if (!peer.mAddress.empty() && !peer.mIsPartitioned && aNow >= peer.mAvoidUntil &&
        peer.mOutstanding < kMaxOutstanding && (!aMayReceive || aMayReceive(peer.mZone))) {
      candidates.push_back(&peer);
    }
  }
  const auto isElsewhere = [&](const Peer* aPeer) {
    return std::find(aZones.begin(), aZones.end(), aPeer->mZone) == aZones.end();
  };
  const auto isTried = [&](const Peer* aPeer) {
    return std::find(aTried.begin(), aTried.end(), EndpointId(aPeer->mName)) != aTried.end();
  };
  EraseUnlessAll(candidates, isElsewhere);
  EraseUnlessAll(candidates, isTried);
  Peer* chosen = nullptr;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    auto* it = candidates[(i + aTieBreaker) % candidates.size()];
    if (chosen == nullptr || it->mOutstanding < chosen->mOutstanding) {
      chosen = it;
    }
  }
  return chosen;
}

void PeerForwarding::OnEnded(const std::string& aName, bool aWasRejected, TimePoint aNow)
{
  const auto found = mPeers.find(aName);
  if (found == mPeers.end()) {
    return;
  }
  auto& peer = found->second;
  peer.mOutstanding -= std::min(peer.mOutstanding, 1U);
  if (!aWasRejected) {
    peer.mRejections = 0;
    return;
  }
  peer.mAvoidUntil = aNow + kInitialAvoidance * (1U << std::min(peer.mRejections, kMaxDoublings));
  ++peer.mRejections;
}

} // namespace skylarkchute
