#include "RequestTable.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

AttemptRow* RequestRow::FindAttempt(const AttemptId& aId)
{
  const auto it = std::find_if(mLiveAttempts.begin(),
                               mLiveAttempts.end(),
                               [&](const AttemptRow& aRow) { return aRow.mId == aId; });
  return it == mLiveAttempts.end() ? nullptr : &*it;
}

RequestRow& RequestTable::Insert(RequestRow aRow)
{
  const auto id = aRow.mFacts.mId;
  const auto inserted = mRows.emplace(id, std::move(aRow));
  assert(inserted.second);
  return inserted.first->second;
}

RequestRow* RequestTable::Find(const RequestId& aId)
{
  const auto it = mRows.find(aId);
  return it == mRows.end() ? nullptr : &it->second;
}

const RequestRow* RequestTable::Find(const RequestId& aId) const
{
  const auto it = mRows.find(aId);
  return it == mRows.end() ? nullptr : &it->second;
}

std::vector<RequestId> RequestTable::Ids() const
{
  std::vector<RequestId> ids;
  ids.reserve(mRows.size());
  for (const auto& it : mRows) {
    ids.push_back(it.first);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

} // namespace skylarkchute
