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
  if (mSuspects.size() >= kMostSuspects) {
    DropOldest();
  }
  auto& row = mSuspects[aFingerprint];
  row.mLastCrash = aNow;
  return row;
}

void SuspectTable::MarkProven(const Fingerprint& aFingerprint)
{
  const auto hash = StableHash(aFingerprint.Value());
  if (!mProven.insert(hash).second) {
    return;
  }
  mProvenOrder.push_back(hash);
  if (mProvenOrder.size() > kMostProven) {
    mProven.erase(mProvenOrder.front());
    mProvenOrder.pop_front();
  }
}

bool SuspectTable::IsProven(const Fingerprint& aFingerprint) const
{
  return mProven.find(StableHash(aFingerprint.Value())) != mProven.end();
}

void SuspectTable::DropOldest()
{
  const auto older = [](const auto& aLeft, const auto& aRight) {
    const bool leftHeld = aLeft.second.mQuarantinedUntil != TimePoint{};
    const bool rightHeld = aRight.second.mQuarantinedUntil != TimePoint{};
    if (leftHeld != rightHeld) {
      return rightHeld;
    }
    return aLeft.second.mLastCrash < aRight.second.mLastCrash;
  };
  mSuspects.erase(std::min_element(mSuspects.begin(), mSuspects.end(), older));
}

} // namespace skylarkchute
