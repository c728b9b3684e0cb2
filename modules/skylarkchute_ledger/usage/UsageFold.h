#pragma once

#include "UsageMessages.h"

namespace skylarkchute {

/** Two records of one key that are further apart than this are two requests. */
inline constexpr std::chrono::hours kSameRequestWindow{ 24 };

/** One line of a team's bill. */
struct BillLine
{
  TeamName mTeam;
  std::string mModel; /**< `MODEL/NAME`, or the service. */
  std::uint64_t mRequests = 0;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCompletionTokens = 0;
  double mPrice = 0;
};

/** The bill of every team. */
struct UsageBill
{
  std::vector<BillLine> mLines; /**< Sorted by team, then model. */
  std::uint64_t mRepeated = 0;  /**< Records that were not billed again. */
};

/** Folds batches into bills. The earliest record of each team and request key is billed, so that a
    resend that ran on two instances and a record in two batches are billed once. */
UsageBill FoldUsage(const std::vector<UsageBatch>& aBatches);

} // namespace skylarkchute
