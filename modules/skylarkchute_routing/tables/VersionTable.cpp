#include "VersionTable.h"

namespace skylarkchute {

namespace {

bool IsSameEntry(const ModelVersion& aLeft, const ModelVersion& aRight)
{
  return aLeft.mState == aRight.mState && aLeft.mLabel == aRight.mLabel &&
         aLeft.mModel == aRight.mModel;
}

} // namespace

void VersionTable::Replace(const std::vector<ModelVersion>& aVersions)
{
  Rows rows;
  for (const auto& it : aVersions) {
    VersionRow row;
    const auto known = mRows.find(it.mId);
    if (known != mRows.end()) {
      row = known->second;
      row.mStopped = row.mStopped && IsSameEntry(row.mVersion, it);
    }
    row.mVersion = it;
    rows.insert_or_assign(it.mId, std::move(row));
  }
  mRows.swap(rows);
}

VersionRow* VersionTable::Find(const VersionId& aId)
{
  const auto it = mRows.find(aId);
  return it == mRows.end() ? nullptr : &it->second;
}

const VersionRow* VersionTable::Find(const VersionId& aId) const
{
  const auto it = mRows.find(aId);
  return it == mRows.end() ? nullptr : &it->second;
}

bool VersionTable::IsUsable(const VersionId& aId) const
{
  const auto* row = Find(aId);
  return row != nullptr && !row->mStopped && row->mVersion.mState != VersionState::Withdrawn;
}

bool VersionTable::Stop(const VersionId& aId)
{
  auto* row = Find(aId);
  if (row == nullptr || row->mStopped) {
    return false;
  }
  row->mStopped = true;
  return true;
}

} // namespace skylarkchute
