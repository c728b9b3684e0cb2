#include "RetrySystem.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr std::uint32_t kMaxRetries = 3;
constexpr std::chrono::milliseconds kInitialBackoff{ 20 };
constexpr std::chrono::milliseconds kMaxBackoff{ 2000 };

} // namespace

void RetrySystem::OnFirstAttempt(const RequestRow& aRow)
{
  mTables.mClasses.Get(aRow.mFacts.mClass).mBudget.OnFirstAttempt();
}

std::optional<TimePoint> RetrySystem::RetryAt(const RequestRow& aRow,
                                              const AttemptOutcome& aOutcome,
                                              std::chrono::microseconds aExpectedService,
                                              TimePoint aNow)
{
  if (!MayRetry(aRow, aOutcome)) {
    return std::nullopt;
  }
  const auto at = aNow + Backoff(aRow.mRetries);
  if (at + aExpectedService > aRow.mFacts.mDeadline) {
    return std::nullopt;
  }
  if (!mTables.mClasses.Get(aRow.mFacts.mClass).mBudget.Take()) {
    ++mTables.mCounters.mRetriesDenied;
    return std::nullopt;
  }
  return at;
}

bool RetrySystem::TakeHedgeBudget(const RequestRow& aRow)
{
  return mTables.mClasses.Get(aRow.mFacts.mClass).mBudget.Take();
}

bool RetrySystem::MayRetry(const RequestRow& aRow, const AttemptOutcome& aOutcome) const
{
  if (aOutcome.mCallerSawBytes || aRow.mRetries >= kMaxRetries) {
    return false;
  }
  if (aOutcome.mEnd == AttemptEnd::Rejected) {
    return false;
  }
  return !aRow.mNonIdempotent || aRow.mWorstVerdict == Verdict::NotRun;
}

std::chrono::microseconds RetrySystem::Backoff(std::uint32_t aRetries)
{
  const auto limit =
    std::min<std::chrono::milliseconds>(kInitialBackoff * (1U << aRetries * 2), kMaxBackoff);
  return std::chrono::duration_cast<std::chrono::microseconds>(limit * mTables.Draw());
}

} // namespace skylarkchute
