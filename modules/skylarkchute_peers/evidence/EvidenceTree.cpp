#include "EvidenceTree.h"

#include "../events/PeersEvents.h"
#include "../messages/Methods.h"

#include <algorithm>

namespace skylarkchute {

namespace {

VersionEvidence ToEvidence(const EvidenceKey& aKey, const EvidenceCounts& aCounts)
{
  VersionEvidence evidence;
  evidence.mVersion = aKey.mVersion;
  evidence.mClass = aKey.mClass;
  evidence.mTeam = aKey.mTeam;
  evidence.mRequests = aCounts.mRequests;
  evidence.mErrors = aCounts.mErrors;
  evidence.mTimeouts = aCounts.mTimeouts;
  evidence.mRated = aCounts.mRated;
  evidence.mRatedGood = aCounts.mRatedGood;
  evidence.mLatencySum = std::chrono::milliseconds(aCounts.mLatencySumMs);
  return evidence;
}

template<typename Source>
EvidenceCounts SumOf(const std::map<Source, EvidenceCounts>& aSources)
{
  EvidenceCounts sum;
  for (const auto& it : aSources) {
    sum.Add(it.second);
  }
  return sum;
}

template<typename Table>
void EraseBefore(Table& aTable, std::uint64_t aWindow)
{
  aTable.erase(aTable.begin(), aTable.lower_bound(EvidenceKey{ aWindow, {}, {}, {} }));
}

} // namespace

EvidenceTree::EvidenceTree(Options aOptions)
  : mOptions(std::move(aOptions))
  , mZoneCollectors(mOptions.mTopicCount)
  , mTopicCollectors(mOptions.mTopicCount)
{
}

std::uint32_t EvidenceTree::TopicOf(const VersionId& aVersion) const
{
  return static_cast<std::uint32_t>(StableHash(aVersion.Value()) % mOptions.mTopicCount);
}

std::uint64_t EvidenceTree::WindowAt(WallTime aWallNow) const
{
  const auto time =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWallNow.time_since_epoch());
  return static_cast<std::uint64_t>(time / mOptions.mWindow);
}

std::chrono::milliseconds EvidenceTree::Period() const
{
  return mSeparateTeams ? mOptions.mPeriod : mOptions.mLargeFleetPeriod;
}

InstanceId EvidenceTree::ZoneCollector(const ZoneName& aZone, std::uint32_t aTopic) const
{
  const auto zone = mZones.find(aZone);
  if (zone == mZones.end()) {
    return mOptions.mSelf;
  }
  const auto key = "evidence/" + aZone.Value() + "/" + std::to_string(aTopic);
  return RendezvousOrder(key, zone->second, 1).front();
}

void EvidenceTree::SetMembers(const std::vector<Member>& aMembers)
{
  std::vector<InstanceId> all;
  mZones.clear();
  for (const auto& it : aMembers) {
    mZones[it.mZone].push_back(it.mId);
    all.push_back(it.mId);
  }
  mSeparateTeams = all.size() <= mOptions.mMaxMembersWithTeams;
  for (std::uint32_t n = 0; n < mOptions.mTopicCount; ++n) {
    const auto order = RendezvousOrder("evidence/" + std::to_string(n), all, 1);
    const auto zoneCollector = ZoneCollector(mOptions.mZone, n);
    const auto topicCollector = order.empty() ? mOptions.mSelf : order.front();
    const bool zoneMoved = std::exchange(mZoneCollectors[n], zoneCollector) != zoneCollector;
    const bool topicMoved = std::exchange(mTopicCollectors[n], topicCollector) != topicCollector;
    for (const auto& [key, counts] : mOwnRows) {
      if (zoneMoved && TopicOf(key.mVersion) == n) {
        mOwnPending.insert(key);
      }
    }
    for (const auto& [key, sources] : mZoneRows) {
      if (topicMoved && TopicOf(key.mVersion) == n) {
        mZonePending.insert(key);
      }
    }
  }
}

void EvidenceTree::Add(const std::vector<VersionEvidence>& aEvidence, WallTime aWallNow)
{
  const auto window = WindowAt(aWallNow);
  for (const auto& it : aEvidence) {
    const EvidenceKey key{ window, it.mVersion, it.mClass, mSeparateTeams ? it.mTeam : TeamName() };
    const auto latency = std::chrono::duration_cast<std::chrono::milliseconds>(it.mLatencySum);
    mOwnRows[key].Add({ it.mRequests,
                        it.mErrors,
                        it.mTimeouts,
                        it.mRated,
                        it.mRatedGood,
                        static_cast<std::uint64_t>(latency.count()) });
    mOwnPending.insert(key);
  }
}

EvidenceOutput EvidenceTree::Tick(TimePoint aNow, WallTime aWallNow)
{
  EvidenceOutput output;
  if (!mNextSend) {
    // The first send is offset by a hash of the instance id to spread the load over the period.
    const auto share = StableHash(mOptions.mSelf.Value()) % 1000;
    mNextSend = aNow + Period() * share / 1000;
  }
  if (aNow < *mNextSend) {
    return output;
  }
  mNextSend = std::max(*mNextSend + Period(), aNow);
  EraseOldWindows(aWallNow);
  SendOwnRows(output);
  SendZoneSums(output);
  SendTotals(output);
  ForwardTotals(output);
  return output;
}

void EvidenceTree::Send(Flow aFlow,
                        const InstanceId& aTo,
                        const char* aMethod,
                        std::string aParams,
                        const EvidenceTable& aRows,
                        EvidenceOutput& aOutput)
{
  const auto id = mNextCall++;
  SentRows sent{ aFlow, aTo, {} };
  for (const auto& it : aRows) {
    sent.mKeys.push_back(it.first);
  }
  mCallsInFlight.emplace(id, std::move(sent));
  aOutput.mCalls.push_back({ id, aTo, aMethod, std::move(aParams), mOptions.mCallTimeout });
}

void EvidenceTree::SendOwnRows(EvidenceOutput& aOutput)
{
  std::map<InstanceId, EvidenceTable> messages;
  for (const auto& it : mOwnPending) {
    messages[mZoneCollectors[TopicOf(it.mVersion)]][it] = mOwnRows[it];
  }
  mOwnPending.clear();
  for (const auto& [to, rows] : messages) {
    if (to == mOptions.mSelf) {
      MergeInstanceRows(to, rows);
      continue;
    }
    const EvidenceUp message{ mOptions.mSelf, mOptions.mZone, false, rows };
    Send(Flow::InstanceRows, to, kEvidenceUpMethod, EncodeEvidenceUp(message), rows, aOutput);
  }
}

void EvidenceTree::SendZoneSums(EvidenceOutput& aOutput)
{
  std::map<InstanceId, EvidenceTable> messages;
  for (const auto& it : mZonePending) {
    messages[mTopicCollectors[TopicOf(it.mVersion)]][it] = SumOf(mZoneRows[it]);
  }
  mZonePending.clear();
  for (const auto& [to, rows] : messages) {
    if (to == mOptions.mSelf) {
      MergeZoneSums(mOptions.mZone, rows);
      continue;
    }
    const EvidenceUp message{ mOptions.mSelf, mOptions.mZone, true, rows };
    Send(Flow::ZoneSums, to, kEvidenceUpMethod, EncodeEvidenceUp(message), rows, aOutput);
  }
}

void EvidenceTree::SendTotals(EvidenceOutput& aOutput)
{
  std::map<InstanceId, EvidenceTable> messages;
  for (const auto& key : mTotalsPending) {
    const auto total = SumOf(mTopicRows[key]);
    for (const auto& [zone, members] : mZones) {
      messages[ZoneCollector(zone, TopicOf(key.mVersion))][key] = total;
    }
  }
  mTotalsPending.clear();
  for (const auto& [to, rows] : messages) {
    if (to == mOptions.mSelf) {
      MergeTotals(rows, true, aOutput);
      continue;
    }
    Send(Flow::FleetTotals,
         to,
         kEvidenceDownMethod,
         EncodeEvidenceDown({ true, rows }),
         rows,
         aOutput);
  }
}

void EvidenceTree::ForwardTotals(EvidenceOutput& aOutput)
{
  EvidenceTable rows;
  for (const auto& it : mForwardPending) {
    rows[it] = mTotals[it];
  }
  mForwardPending.clear();
  if (rows.empty()) {
    return;
  }
  const auto params = EncodeEvidenceDown({ false, rows });
  for (const auto& it : mZones[mOptions.mZone]) {
    if (it != mOptions.mSelf) {
      Send(Flow::ForwardedTotals, it, kEvidenceDownMethod, params, rows, aOutput);
    }
  }
}

EvidenceOutput EvidenceTree::OnEvidenceUp(const std::string& aParams)
{
  EvidenceOutput output;
  const auto message = DecodeEvidenceUp(aParams);
  if (!message) {
    output.mEvents.push_back({ &kEvidenceUnreadable, {} });
  } else if (message->mIsZoneSum) {
    MergeZoneSums(message->mZone, message->mRows);
  } else {
    MergeInstanceRows(message->mFrom, message->mRows);
  }
  return output;
}

EvidenceOutput EvidenceTree::OnEvidenceDown(const std::string& aParams)
{
  EvidenceOutput output;
  const auto message = DecodeEvidenceDown(aParams);
  if (!message) {
    output.mEvents.push_back({ &kEvidenceUnreadable, {} });
    return output;
  }
  MergeTotals(message->mRows, message->mForwardToZone, output);
  return output;
}

void EvidenceTree::MergeInstanceRows(const InstanceId& aFrom, const EvidenceTable& aRows)
{
  for (const auto& [key, counts] : aRows) {
    mZoneRows[key][aFrom].MergeMax(counts);
    mZonePending.insert(key);
  }
}

void EvidenceTree::MergeZoneSums(const ZoneName& aZone, const EvidenceTable& aRows)
{
  for (const auto& [key, counts] : aRows) {
    mTopicRows[key][aZone].MergeMax(counts);
    mTotalsPending.insert(key);
  }
}

void EvidenceTree::MergeTotals(const EvidenceTable& aRows,
                               bool aForwardToZone,
                               EvidenceOutput& aOutput)
{
  for (const auto& [key, counts] : aRows) {
    mTotals[key].MergeMax(counts);
    if (aForwardToZone) {
      mForwardPending.insert(key);
    }
    const auto own = mOwnRows.find(key);
    const auto others = mTotals[key].Minus(own == mOwnRows.end() ? EvidenceCounts() : own->second);
    auto& delivered = mDelivered[key];
    const auto increment = others.Minus(delivered);
    if (increment.IsZero()) {
      continue;
    }
    delivered.Add(increment);
    aOutput.mFleetIncrements.push_back(ToEvidence(key, increment));
  }
}

void EvidenceTree::OnReply(const PeerReply& aReply, TimePoint aNow)
{
  const auto it = mCallsInFlight.find(aReply.mId);
  if (it == mCallsInFlight.end()) {
    return;
  }
  const auto sent = std::move(it->second);
  mCallsInFlight.erase(it);
  if (aReply.mOk) {
    return;
  }
  auto& pending = sent.mFlow == Flow::InstanceRows  ? mOwnPending
                  : sent.mFlow == Flow::ZoneSums    ? mZonePending
                  : sent.mFlow == Flow::FleetTotals ? mTotalsPending
                                                    : mForwardPending;
  pending.insert(sent.mKeys.begin(), sent.mKeys.end());
  mNextSend = std::min(mNextSend.value_or(aNow), aNow + mOptions.mRetryDelay);
}

void EvidenceTree::EraseOldWindows(WallTime aWallNow)
{
  const auto window = WindowAt(aWallNow);
  const auto first = window > mOptions.mWindowsKept ? window - mOptions.mWindowsKept : 0;
  EraseBefore(mOwnRows, first);
  EraseBefore(mZoneRows, first);
  EraseBefore(mTopicRows, first);
  EraseBefore(mTotals, first);
  EraseBefore(mDelivered, first);
  EraseBefore(mOwnPending, first);
  EraseBefore(mZonePending, first);
  EraseBefore(mTotalsPending, first);
  EraseBefore(mForwardPending, first);
}

std::size_t EvidenceTree::RowCount() const
{
  std::size_t count = mOwnRows.size() + mTotals.size() + mDelivered.size();
  for (const auto& it : mZoneRows) {
    count += it.second.size();
  }
  for (const auto& it : mTopicRows) {
    count += it.second.size();
  }
  return count;
}

} // namespace skylarkchute
