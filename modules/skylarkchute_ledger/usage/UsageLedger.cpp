#include "UsageLedger.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <iterator>

namespace skylarkchute {

UsageLedger::UsageLedger(Options aOptions)
  : mOptions(std::move(aOptions))
  , mWriter(mOptions.mWriter)
{
}

bool UsageLedger::HasRoom() const
{
  return mOwnRecordCount + mHeldRecordCount < mOptions.mMaxRecords;
}

UsageOutput UsageLedger::SetPeers(const std::vector<BackupCandidate>& aPeers, TimePoint aNow)
{
  std::vector<InstanceId> otherZones;
  std::vector<InstanceId> sameZone;
  for (const auto& it : aPeers) {
    (it.mZone == mOptions.mZone ? sameZone : otherZones).push_back(it.mId);
  }
  const auto key = "usage/" + mOptions.mSelf.Value();
  const auto current = mBackupIndex < mBackups.size() ? mBackups[mBackupIndex] : InstanceId();
  mBackups = RendezvousOrder(key, otherZones, otherZones.size());
  const auto last = RendezvousOrder(key, sameZone, sameZone.size());
  mBackups.insert(mBackups.end(), last.begin(), last.end());
  const auto kept = std::find(mBackups.begin(), mBackups.end(), current);
  mBackupIndex = kept == mBackups.end() ? 0 : static_cast<std::size_t>(kept - mBackups.begin());
  ClearHolders({ mBackups.begin(), mBackups.end() });
  UsageOutput output;
  Advance(aNow, output);
  return output;
}

void UsageLedger::ClearHolders(const std::set<InstanceId>& aKept)
{
  for (auto& [sequence, batch] : mBatches) {
    for (auto& it : batch) {
      if (aKept.count(it.mHolder) == 0) {
        it.mHolder = InstanceId();
      }
    }
  }
}

UsageOutput UsageLedger::Record(const UsageRecord& aRecord, TimePoint aNow)
{
  UsageOutput output;
  AddToOpen({ aRecord, aNow, {}, false }, aNow);
  Advance(aNow, output);
  return output;
}

void UsageLedger::AddToOpen(Entry aEntry, TimePoint aNow)
{
  auto& open = mBatches[mSequence];
  if (open.empty()) {
    mOpenedAt = aNow;
  }
  open.push_back(std::move(aEntry));
  ++mOwnRecordCount;
}

void UsageLedger::Advance(TimePoint aNow, UsageOutput& aOutput)
{
  SealIfDue(aNow);
  SendBackup(aNow, aOutput);
  ApplyWriterOutput(mWriter.Tick(aNow), aNow, aOutput);
}

void UsageLedger::SealIfDue(TimePoint aNow)
{
  const auto open = mBatches.find(mSequence);
  if (open == mBatches.end()) {
    return;
  }
  const bool old = aNow - mOpenedAt >= mOptions.mMaxBatchAge;
  const bool full = open->second.size() >= mOptions.mMaxBatchRecords;
  // Without a backup peer only the store protects a record, so do not wait for the batch to fill.
  const bool urgent = mBackups.empty() && mWriter.IsIdle();
  if (old || full || urgent) {
    Seal(aNow);
  }
}

void UsageLedger::Seal(TimePoint)
{
  const auto open = mBatches.find(mSequence);
  if (open == mBatches.end()) {
    return;
  }
  UsageBatch batch{ mOptions.mIncarnation, mSequence, {} };
  for (const auto& it : open->second) {
    batch.mRecords.push_back(it.mRecord);
  }
  mWriter.Add(std::move(batch));
  ++mSequence;
}

void UsageLedger::SendBackup(TimePoint aNow, UsageOutput& aOutput)
{
  if (mBackupCall || mBackups.empty() || aNow < mNextBackupAt) {
    return;
  }
  for (const auto& [sequence, batch] : mBatches) {
    UsageBatch message{ mOptions.mIncarnation, sequence, {} };
    BackupCall call{ mBackups[mBackupIndex], sequence, {}, aNow + 2 * mOptions.mBackupTimeout };
    for (const auto& it : batch) {
      if (it.mHolder.IsEmpty()) {
        message.mRecords.push_back(it.mRecord);
        call.mRequests.push_back(it.mRecord.mRequest);
      }
    }
    if (message.mRecords.empty()) {
      continue;
    }
    mBackupCallId = mNextMessage++;
    aOutput.mMessages.push_back({ mBackupCallId,
                                  call.mTo,
                                  UsageMessageKind::Backup,
                                  EncodeUsageBatch(message),
                                  mOptions.mBackupTimeout });
    mBackupCall = std::move(call);
    return;
  }
}

UsageLedger::Entry* UsageLedger::FindEntry(std::uint64_t aSequence, const RequestId& aRequest)
{
  const auto batch = mBatches.find(aSequence);
  if (batch == mBatches.end()) {
    return nullptr;
  }
  const auto it =
    std::find_if(batch->second.begin(), batch->second.end(), [&](const Entry& aEntry) {
      return aEntry.mRecord.mRequest == aRequest;
    });
  return it == batch->second.end() ? nullptr : &*it;
}

UsageOutput UsageLedger::OnBackupReply(std::uint64_t aId, bool aHeld, TimePoint aNow)
{
  UsageOutput output;
  if (!mBackupCall || aId != mBackupCallId) {
    return output;
  }
  const auto call = std::move(*mBackupCall);
  mBackupCall.reset();
  if (!aHeld) {
    output.mEvents.push_back({ &kUsageBackupFailed, { { "backup", call.mTo.Value() } } });
    mBackupIndex = mBackups.empty() ? 0 : (mBackupIndex + 1) % mBackups.size();
    if (++mBackupFailures >= mBackups.size()) {
      mBackupFailures = 0;
      mNextBackupAt = aNow + mOptions.mBackupRetryDelay;
    }
    Advance(aNow, output);
    return output;
  }
  mBackupFailures = 0;
  bool durable = true;
  for (const auto& it : call.mRequests) {
    auto* entry = FindEntry(call.mSequence, it);
    if (entry == nullptr) {
      continue;
    }
    durable = false;
    entry->mHolder = call.mTo;
    if (!std::exchange(entry->mReported, true)) {
      output.mReleasedRequests.push_back(it);
    }
  }
  if (durable) {
    // The batch became durable while the message was in flight.
    output.mMessages.push_back({ mNextMessage++,
                                 call.mTo,
                                 UsageMessageKind::Drop,
                                 EncodeUsageDrop({ mOptions.mIncarnation, call.mSequence }),
                                 mOptions.mBackupTimeout });
  }
  Advance(aNow, output);
  return output;
}

bool UsageLedger::OnBackup(const std::string& aParams, TimePoint aNow)
{
  const auto batch = DecodeUsageBatch(aParams);
  if (!batch || !HasRoom()) {
    return false;
  }
  auto& held = mHeld[{ batch->mOwner, batch->mSequence }];
  if (held.mWriting) {
    return false;
  }
  if (held.mRecords.empty()) {
    held.mSince = aNow;
  }
  std::set<RequestId> known;
  for (const auto& it : held.mRecords) {
    known.insert(it.mRequest);
  }
  for (const auto& it : batch->mRecords) {
    if (known.insert(it.mRequest).second) {
      held.mRecords.push_back(it);
      ++mHeldRecordCount;
    }
  }
  return true;
}

void UsageLedger::OnDrop(const std::string& aParams)
{
  const auto drop = DecodeUsageDrop(aParams);
  if (!drop) {
    return;
  }
  const auto held = mHeld.find({ drop->mOwner, drop->mSequence });
  if (held != mHeld.end() && !held->second.mWriting) {
    mHeldRecordCount -= held->second.mRecords.size();
    mHeld.erase(held);
  }
}

void UsageLedger::WriteHeld(const HeldBatchKey& aKey, HeldBatch& aHeld)
{
  if (std::exchange(aHeld.mWriting, true) || aHeld.mRecords.empty()) {
    return;
  }
  mWriter.Add({ aKey.mOwner, aKey.mSequence, aHeld.mRecords });
}

UsageOutput UsageLedger::OnIncarnationEnded(const IncarnationId& aIncarnation,
                                            const InstanceId& aInstance,
                                            TimePoint aNow)
{
  UsageOutput output;
  std::set<InstanceId> kept(mBackups.begin(), mBackups.end());
  kept.erase(aInstance);
  ClearHolders(kept);
  for (auto& [key, held] : mHeld) {
    if (key.mOwner == aIncarnation) {
      WriteHeld(key, held);
    }
  }
  Advance(aNow, output);
  return output;
}

UsageOutput UsageLedger::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  UsageOutput output;
  ApplyWriterOutput(mWriter.OnReply(aReply, aNow), aNow, output);
  Advance(aNow, output);
  return output;
}

void UsageLedger::ApplyWriterOutput(BatchWriterOutput aWriter, TimePoint aNow, UsageOutput& aOutput)
{
  std::move(aWriter.mCalls.begin(), aWriter.mCalls.end(), std::back_inserter(aOutput.mCalls));
  for (const auto& it : aWriter.mWritten) {
    if (it.mBatch.mOwner == mOptions.mIncarnation) {
      OnOwnWritten(it, aNow, aOutput);
    } else {
      OnHeldWritten(it, aNow, aOutput);
    }
  }
}

void UsageLedger::OnOwnWritten(const WrittenBatch& aWritten, TimePoint aNow, UsageOutput& aOutput)
{
  const auto batch = mBatches.find(aWritten.mBatch.mSequence);
  const auto entries = std::move(batch->second);
  mBatches.erase(batch);
  mOwnRecordCount -= entries.size();
  std::set<RequestId> missing;
  for (const auto& it : aWritten.mMissing) {
    missing.insert(it.mRequest);
  }
  if (!missing.empty()) {
    aOutput.mEvents.push_back(
      { &kUsageBatchTaken, { { "missing", std::to_string(missing.size()) } } });
  }
  std::set<InstanceId> holders;
  for (const auto& it : entries) {
    if (!it.mHolder.IsEmpty()) {
      holders.insert(it.mHolder);
    }
    if (missing.count(it.mRecord.mRequest) != 0) {
      AddToOpen({ it.mRecord, it.mAddedAt, {}, it.mReported }, aNow);
    } else if (!it.mReported) {
      aOutput.mReleasedRequests.push_back(it.mRecord.mRequest);
    }
  }
  for (const auto& it : holders) {
    aOutput.mMessages.push_back(
      { mNextMessage++,
        it,
        UsageMessageKind::Drop,
        EncodeUsageDrop({ mOptions.mIncarnation, aWritten.mBatch.mSequence }),
        mOptions.mBackupTimeout });
  }
}

void UsageLedger::OnHeldWritten(const WrittenBatch& aWritten, TimePoint aNow, UsageOutput& aOutput)
{
  const auto held = mHeld.find({ aWritten.mBatch.mOwner, aWritten.mBatch.mSequence });
  if (held != mHeld.end()) {
    mHeldRecordCount -= held->second.mRecords.size();
    mHeld.erase(held);
  }
  for (const auto& it : aWritten.mMissing) {
    AddToOpen({ it, aNow, {}, true }, aNow);
  }
  aOutput.mEvents.push_back({ &kUsageRecovered,
                              { { "owner", aWritten.mBatch.mOwner.Value() },
                                { "records", std::to_string(aWritten.mBatch.mRecords.size()) } } });
}

void UsageLedger::ReportUnprotected(TimePoint aNow, UsageOutput& aOutput)
{
  std::size_t count = 0;
  for (auto& [sequence, batch] : mBatches) {
    for (auto& it : batch) {
      if (!it.mReported && aNow - it.mAddedAt >= mOptions.mMaxResponseDelay) {
        it.mReported = true;
        aOutput.mReleasedRequests.push_back(it.mRecord.mRequest);
        ++count;
      }
    }
  }
  if (count > 0) {
    aOutput.mEvents.push_back({ &kUsageUnprotected, { { "records", std::to_string(count) } } });
  }
}

UsageOutput UsageLedger::Tick(TimePoint aNow)
{
  UsageOutput output;
  if (mBackupCall && aNow >= mBackupCall->mDeadline) {
    output = OnBackupReply(mBackupCallId, false, aNow);
  }
  for (auto& [key, held] : mHeld) {
    if (aNow - held.mSince >= mOptions.mMaxHoldTime) {
      WriteHeld(key, held);
    }
  }
  Advance(aNow, output);
  ReportUnprotected(aNow, output);
  return output;
}

UsageOutput UsageLedger::Flush(TimePoint aNow)
{
  UsageOutput output;
  for (auto& [key, held] : mHeld) {
    WriteHeld(key, held);
  }
  Seal(aNow);
  Advance(aNow, output);
  return output;
}

bool UsageLedger::IsDrained() const
{
  return mBatches.empty() && mHeld.empty() && mWriter.IsIdle();
}

} // namespace skylarkchute
