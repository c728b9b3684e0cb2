#pragma once

#include "UsageMessages.h"

namespace skylarkchute {

/** A record of a team and request key is a duplicate if it is at most this much later than the one
    that was billed; a later one is a new request. */
inline constexpr std::chrono::hours kDeduplicationWindow{ 24 };

/** The usage of one team and model. */
struct BillLine
{
  TeamName mTeam;
  std::string mModel; /**< `MODEL/NAME`, or the service. */
  std::uint64_t mRequests = 0;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCompletionTokens = 0;
  double mPrice = 0;
};

/** The bills of all teams. */
struct UsageBill
{
  std::vector<BillLine> mLines;        /**< Sorted by team, then model. */
  std::uint64_t mDuplicateRecords = 0; /**< Duplicate records, which are not billed. */
};

/** Aggregates usage batches into bills. Only the earliest record of each team and request key is
    billed, so that a resend that ran on two instances, or a record in two batches, is billed once.
    @see kDeduplicationWindow */
UsageBill AggregateUsage(const std::vector<UsageBatch>& aBatches);

} // namespace skylarkchute
