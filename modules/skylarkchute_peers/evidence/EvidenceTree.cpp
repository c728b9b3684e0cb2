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
  , mZoneCollectors(mOptions.mTopics)
  , mTopicCollectors(mOptions.mTopics)
{
}

std::uint32_t EvidenceTree::TopicOf(const VersionId& aVersion) const
{
  return static_cast<std::uint32_t>(StableHash(aVersion.Value()) % mOptions.mTopics);
}

std::uint64_t EvidenceTree::WindowAt(WallTime aWallNow) const
{
  const auto time =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWallNow.time_since_epoch());
  return static_cast<std::uint64_t>(time / mOptions.mWindow);
}

std::chrono::milliseconds EvidenceTree::Period() const
{
  return mWithTeams ? mOptions.mPeriod : mOptions.mLargeFleetPeriod;
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
  mWithTeams = all.size() <= mOptions.mMostMembersWithTeams;
  for (std::uint32_t n = 0; n < mOptions.mTopics; ++n) {
    const auto order = RendezvousOrder("evidence/" + std::to_string(n), all, 1);
    const auto zoneCollector = ZoneCollector(mOptions.mZone, n);
    const auto topicCollector = order.empty() ? mOptions.mSelf : order.front();
    const bool zoneMoved = std::exchange(mZoneCollectors[n], zoneCollector) != zoneCollector;
    const bool topicMoved = std::exchange(mTopicCollectors[n], topicCollector) != topicCollector;
    for (const auto& [key, counts] : mOwn) {
      if (zoneMoved && TopicOf(key.mVersion) == n) {
        mOwnDue.insert(key);
      }
    }
    for (const auto& [key, sources] : mZoneRows) {
      if (topicMoved && TopicOf(key.mVersion) == n) {
        mZoneDue.insert(key);
      }
    }
  }
}

void EvidenceTree::Add(const std::vector<VersionEvidence>& aEvidence, WallTime aWallNow)
{
  const auto window = WindowAt(aWallNow);
  for (const auto& it : aEvidence) {
    const EvidenceKey key{ window, it.mVersion, it.mClass, mWithTeams ? it.mTeam : TeamName() };
    const auto latency = std::chrono::duration_cast<std::chrono::milliseconds>(it.mLatencySum);
    mOwn[key].Add({ it.mRequests,
                    it.mErrors,
                    it.mTimeouts,
                    it.mRated,
                    it.mRatedGood,
                    static_cast<std::uint64_t>(latency.count()) });
    mOwnDue.insert(key);
  }
}

EvidenceOutput EvidenceTree::Tick(TimePoint aNow, WallTime aWallNow)
{
  EvidenceOutput output;
  if (!mNextSend) {
    // Instances send at different times of the period.
    const auto share = StableHash(mOptions.mSelf.Value()) % 1000;
    mNextSend = aNow + Period() * share / 1000;
  }
  if (aNow < *mNextSend) {
    return output;
  }
  mNextSend = std::max(*mNextSend + Period(), aNow);
  ForgetOld(aWallNow);
  SendOwn(output);
  SendZone(output);
  SendTotals(output);
  SendDown(output);
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
  mSent.emplace(id, std::move(sent));
  aOutput.mCalls.push_back({ id, aTo, aMethod, std::move(aParams), mOptions.mCallTimeout });
}

void EvidenceTree::SendOwn(EvidenceOutput& aOutput)
{
  std::map<InstanceId, EvidenceTable> messages;
  for (const auto& it : mOwnDue) {
    messages[mZoneCollectors[TopicOf(it.mVersion)]][it] = mOwn[it];
  }
  mOwnDue.clear();
  for (const auto& [to, rows] : messages) {
    if (to == mOptions.mSelf) {
      TakeOwnUp(to, rows);
      continue;
    }
    const EvidenceUp message{ mOptions.mSelf, mOptions.mZone, false, rows };
    Send(Flow::OwnUp, to, kEvidenceUpMethod, EncodeEvidenceUp(message), rows, aOutput);
  }
}

void EvidenceTree::SendZone(EvidenceOutput& aOutput)
{
  std::map<InstanceId, EvidenceTable> messages;
  for (const auto& it : mZoneDue) {
    messages[mTopicCollectors[TopicOf(it.mVersion)]][it] = SumOf(mZoneRows[it]);
  }
  mZoneDue.clear();
  for (const auto& [to, rows] : messages) {
    if (to == mOptions.mSelf) {
      TakeZoneUp(mOptions.mZone, rows);
      continue;
    }
    const EvidenceUp message{ mOptions.mSelf, mOptions.mZone, true, rows };
    Send(Flow::ZoneUp, to, kEvidenceUpMethod, EncodeEvidenceUp(message), rows, aOutput);
  }
}

void EvidenceTree::SendTotals(EvidenceOutput& aOutput)
{
  std::map<InstanceId, EvidenceTable> messages;
  for (const auto& key : mTotalDue) {
    const auto total = SumOf(mTopicRows[key]);
    for (const auto& [zone, members] : mZones) {
      messages[ZoneCollector(zone, TopicOf(key.mVersion))][key] = total;
    }
  }
  mTotalDue.clear();
  for (const auto& [to, rows] : messages) {
    if (to == mOptions.mSelf) {
      TakeTotals(rows, true, aOutput);
      continue;
    }
    Send(
      Flow::TotalDown, to, kEvidenceDownMethod, EncodeEvidenceDown({ true, rows }), rows, aOutput);
  }
}

void EvidenceTree::SendDown(EvidenceOutput& aOutput)
{
  EvidenceTable rows;
  for (const auto& it : mDownDue) {
    rows[it] = mTotals[it];
  }
  mDownDue.clear();
  if (rows.empty()) {
    return;
  }
  const auto params = EncodeEvidenceDown({ false, rows });
  for (const auto& it : mZones[mOptions.mZone]) {
    if (it != mOptions.mSelf) {
      Send(Flow::ZoneDown, it, kEvidenceDownMethod, params, rows, aOutput);
    }
  }
}

EvidenceOutput EvidenceTree::OnUp(const std::string& aParams)
{
  EvidenceOutput output;
  const auto message = DecodeEvidenceUp(aParams);
  if (!message) {
    output.mEvents.push_back({ &kEvidenceUnreadable, {} });
  } else if (message->mIsZoneSum) {
    TakeZoneUp(message->mZone, message->mRows);
  } else {
    TakeOwnUp(message->mFrom, message->mRows);
  }
  return output;
}

EvidenceOutput EvidenceTree::OnDown(const std::string& aParams)
{
  EvidenceOutput output;
  const auto message = DecodeEvidenceDown(aParams);
  if (!message) {
    output.mEvents.push_back({ &kEvidenceUnreadable, {} });
    return output;
  }
  TakeTotals(message->mRows, message->mPassOn, output);
  return output;
}

void EvidenceTree::TakeOwnUp(const InstanceId& aFrom, const EvidenceTable& aRows)
{
  for (const auto& [key, counts] : aRows) {
    mZoneRows[key][aFrom].TakeLater(counts);
    mZoneDue.insert(key);
  }
}

void EvidenceTree::TakeZoneUp(const ZoneName& aZone, const EvidenceTable& aRows)
{
  for (const auto& [key, counts] : aRows) {
    mTopicRows[key][aZone].TakeLater(counts);
    mTotalDue.insert(key);
  }
}

void EvidenceTree::TakeTotals(const EvidenceTable& aRows, bool aPassOn, EvidenceOutput& aOutput)
{
  for (const auto& [key, counts] : aRows) {
    mTotals[key].TakeLater(counts);
    if (aPassOn) {
      mDownDue.insert(key);
    }
    const auto own = mOwn.find(key);
    const auto others = mTotals[key].Minus(own == mOwn.end() ? EvidenceCounts() : own->second);
    auto& delivered = mDelivered[key];
    const auto increment = others.Minus(delivered);
    if (increment.IsZero()) {
      continue;
    }
    delivered.Add(increment);
    aOutput.mFleet.push_back(ToEvidence(key, increment));
  }
}

void EvidenceTree::OnReply(const PeerReply& aReply, TimePoint aNow)
{
  const auto it = mSent.find(aReply.mId);
  if (it == mSent.end()) {
    return;
  }
  const auto sent = std::move(it->second);
  mSent.erase(it);
  if (aReply.mOk) {
    return;
  }
  auto& due = sent.mFlow == Flow::OwnUp       ? mOwnDue
              : sent.mFlow == Flow::ZoneUp    ? mZoneDue
              : sent.mFlow == Flow::TotalDown ? mTotalDue
                                              : mDownDue;
  due.insert(sent.mKeys.begin(), sent.mKeys.end());
  mNextSend = std::min(mNextSend.value_or(aNow), aNow + mOptions.mRetry);
}

void EvidenceTree::ForgetOld(WallTime aWallNow)
{
  const auto window = WindowAt(aWallNow);
  const auto first = window > mOptions.mWindowsKept ? window - mOptions.mWindowsKept : 0;
  EraseBefore(mOwn, first);
  EraseBefore(mZoneRows, first);
  EraseBefore(mTopicRows, first);
  EraseBefore(mTotals, first);
  EraseBefore(mDelivered, first);
  EraseBefore(mOwnDue, first);
  EraseBefore(mZoneDue, first);
  EraseBefore(mTotalDue, first);
  EraseBefore(mDownDue, first);
}

std::size_t EvidenceTree::RowCount() const
{
  std::size_t count = mOwn.size() + mTotals.size() + mDelivered.size();
  for (const auto& it : mZoneRows) {
    count += it.second.size();
  }
  for (const auto& it : mTopicRows) {
    count += it.second.size();
  }
  return count;
}

} // namespace skylarkchute
