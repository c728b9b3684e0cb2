#include "AuditTrail.h"

#include "ObjectKeys.h"

#include <algorithm>
#include <map>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** Largest expected difference between operators' clocks. Blocks are read until the newest record
    of one is older than the requested time by more than this. */
constexpr std::chrono::minutes kMaxClockSkew{ 10 };

/** Removes attempts whose proposal the same operator then put in force in that generation. */
void DropAcceptedAttempts(std::vector<AuditRecord>& aRecords)
{
  std::map<Generation, AuditRecord> accepted;
  for (const auto& it : aRecords) {
    if (it.mAction == AuditAction::Rolled || it.mAction == AuditAction::Reverted) {
      accepted[it.mGeneration] = it;
    }
  }
  std::erase_if(aRecords, [&](const AuditRecord& aRecord) {
    const auto it = accepted.find(aRecord.mGeneration);
    return aRecord.mAction == AuditAction::Attempted && it != accepted.end() &&
           it->second.mProposal == aRecord.mProposal && it->second.mActor == aRecord.mActor;
  });
}

} // namespace

AuditTrail::AuditTrail(ObjectApi& aApi) : mStore(aApi, CallPurpose::Audit) {}

leaf::result<void> AuditTrail::Write(const AuditRecord& aRecord)
{
  return mStore.PutIfAbsent(aRecord.Key(), WriteAuditRecord(aRecord));
}

leaf::result<std::optional<AuditRecord>> AuditTrail::FindAcceptance(Generation aGeneration)
{
  BOOST_LEAF_AUTO(object, mStore.Get(AcceptanceAuditKey(aGeneration)));
  if (!object) {
    return std::optional<AuditRecord>{};
  }
  auto record = ReadAuditRecord(object->mBody);
  if (!record) {
    return leaf::new_error(LifecycleError{ LifecycleErrorKind::Refused,
                                           AcceptanceAuditKey(aGeneration) + " is not valid" });
  }
  return std::optional<AuditRecord>(*record);
}

leaf::result<void> AuditTrail::WriteMissingRecords(const BundleHead& aHead)
{
  if (auto checked = Write(MakeAuditRecord(aHead)); !checked) {
    return checked.error();
  }
  for (const auto& it : aHead.mRolls) {
    BOOST_LEAF_AUTO(object, mStore.Get(RollKey(it.mSince, it.mName)));
    if (!object) {
      continue;
    }
    const auto record = ReadRollRecord(object->mBody);
    if (record && record->mPhase == RollPhase::Withdrawn) {
      if (auto checked = Write(MakeWithdrawalRecord(*record)); !checked) {
        return checked.error();
      }
    }
  }
  return {};
}

leaf::result<std::vector<AuditRecord>> AuditTrail::Read(const std::optional<BundleHead>& aHead,
                                                        WallTime aSince)
{
  if (aHead) {
    if (auto checked = WriteMissingRecords(*aHead); !checked) {
      return checked.error();
    }
  }
  std::vector<AuditRecord> records;
  // Attempts are recorded under the generation after the one in force.
  auto block = (aHead ? aHead->mGeneration + 1 : 1) / kAuditBlockSize;
  while (true) {
    BOOST_LEAF_AUTO(entries, mStore.List(AuditBlockPrefix(block * kAuditBlockSize)));
    WallTime newest{};
    for (const auto& it : entries) {
      const auto record = ReadAuditRecord(it.mBody);
      if (record) {
        newest = std::max(newest, record->mAt);
        records.push_back(*record);
      }
    }
    if (block == 0 || newest + kMaxClockSkew < aSince) {
      break;
    }
    --block;
  }
  DropAcceptedAttempts(records);
  std::erase_if(records, [&](const AuditRecord& aRecord) { return aRecord.mAt < aSince; });
  std::stable_sort(
    records.begin(), records.end(), [](const AuditRecord& aLeft, const AuditRecord& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  return records;
}

} // namespace skylarkchute
