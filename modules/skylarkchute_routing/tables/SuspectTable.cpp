#include "SuspectTable.h"

namespace skylarkchute {

SuspectRow* SuspectTable::Find(const Fingerprint& aFingerprint)
{
  const auto it = mSuspects.find(aFingerprint);
  return it == mSuspects.end() ? nullptr : &it->second;
}

SuspectRow& SuspectTable::Get(const Fingerprint& aFingerprint, TimePoint aNow)
{
  if (auto* row = Find(aFingerprint)) {
    return *row;
  }
  if (mSuspects.size() >= kMaxSuspects) {
    EvictOldest();
  }
  auto& row = mSuspects[aFingerprint];
  row.mLastCrash = aNow;
  return row;
}

void SuspectTable::MarkCompleted(const Fingerprint& aFingerprint)
{
  const auto hash = StableHash(aFingerprint.Value());
  if (!mCompleted.insert(hash).second) {
    return;
  }
  mCompletedOrder.push_back(hash);
  if (mCompletedOrder.size() > kMaxCompleted) {
    mCompleted.erase(mCompletedOrder.front());
    mCompletedOrder.pop_front();
  }
}

bool SuspectTable::HasCompleted(const Fingerprint& aFingerprint) const
{
  return mCompleted.find(StableHash(aFingerprint.Value())) != mCompleted.end();
}

void SuspectTable::EvictOldest()
{
  const auto older = [](const auto& aLeft, const auto& aRight) {
    const bool leftQuarantined = aLeft.second.mQuarantinedUntil != TimePoint{};
    const bool rightQuarantined = aRight.second.mQuarantinedUntil != TimePoint{};
    if (leftQuarantined != rightQuarantined) {
      return rightQuarantined;
    }
    return aLeft.second.mLastCrash < aRight.second.mLastCrash;
  };
  mSuspects.erase(std::min_element(mSuspects.begin(), mSuspects.end(), older));
}

} // namespace skylarkchute
