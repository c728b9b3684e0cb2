#include "UsageBill.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace skylarkchute {

namespace {

struct LineKey
{
  TeamName mTeam;
  std::string mModel;
  auto operator<=>(const LineKey&) const = default;
};

bool ComesBefore(const UsageRecord& aLeft, const UsageRecord& aRight)
{
  return std::tie(aLeft.mTeam, aLeft.mKey, aLeft.mAt, aLeft.mRequest) <
         std::tie(aRight.mTeam, aRight.mKey, aRight.mAt, aRight.mRequest);
}

bool IsDuplicate(const UsageRecord& aBilled, const UsageRecord& aRecord)
{
  return aBilled.mTeam == aRecord.mTeam && aBilled.mKey == aRecord.mKey &&
         aRecord.mAt - aBilled.mAt <= kDeduplicationWindow;
}

} // namespace

UsageBill AggregateUsage(const std::vector<UsageBatch>& aBatches)
{
  std::vector<UsageRecord> records;
  for (const auto& it : aBatches) {
    records.insert(records.end(), it.mRecords.begin(), it.mRecords.end());
  }
  std::sort(records.begin(), records.end(), ComesBefore);
  UsageBill bill;
  std::map<LineKey, BillLine> lines;
  const UsageRecord* billed = nullptr;
  for (const auto& it : records) {
    if (billed != nullptr && IsDuplicate(*billed, it)) {
      ++bill.mDuplicateRecords;
      continue;
    }
    billed = &it;
    auto& line = lines[{ it.mTeam, it.mModel }];
    line.mTeam = it.mTeam;
    line.mModel = it.mModel;
    ++line.mRequests;
    line.mPromptTokens += it.mPromptTokens;
    line.mCompletionTokens += it.mCompletionTokens;
    line.mPrice += it.mPrice;
  }
  for (auto& it : lines) {
    bill.mLines.push_back(std::move(it.second));
  }
  return bill;
}

} // namespace skylarkchute
