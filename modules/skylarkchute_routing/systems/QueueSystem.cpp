#include "QueueSystem.h"

#include "Refusals.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Least part of the drain rate that a priority is assumed to get. */
constexpr double kLeastRatePart = 0.02;
/** Part of a pool's room kept free for requests of higher priority while there are any. */
constexpr double kReservedPart = 0.06;
/** Requests a second of higher priority below which nothing is reserved. */
constexpr double kLeastReservedRate = 0.1;
constexpr std::chrono::milliseconds kLeastRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMostRetryAfter{ 60000 };
constexpr std::chrono::milliseconds kRetryAfterUnknown{ 1000 };

std::chrono::microseconds FromSeconds(double aSeconds)
{
  constexpr double kMostSeconds = 86400;
  return std::chrono::microseconds(
    static_cast<std::int64_t>(std::min(aSeconds, kMostSeconds) * 1e6));
}

} // namespace

void QueueSystem::Enter(RequestRow& aRow, TimePoint aNow)
{
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  const double weight = team != nullptr && team->mWeight > 0 ? team->mWeight : 1;
  auto& pool = mPools.Fresh(aRow.mPool);
  pool.mQueue.Push(aRow.mPriority, aRow.mTeam, weight, { aRow.mFacts.mDeadline, aRow.mFacts.mId });
  aRow.mPhase = RequestPhase::Queued;
  aRow.mQueuedSince = aNow;
}

void QueueSystem::Leave(const RequestRow& aRow)
{
  if (aRow.mPhase != RequestPhase::Queued) {
    return;
  }
  auto& pool = mTables.mPools.Get(aRow.mPool);
  pool.mQueue.Remove(aRow.mPriority, aRow.mTeam, { aRow.mFacts.mDeadline, aRow.mFacts.mId });
}

void QueueSystem::Drain(TimePoint aNow, const Dispatch& aDispatch)
{
  const auto moreUrgent = [](const Head& aLeft, const Head& aRight) {
    if (aLeft.mRow->mPriority != aRight.mRow->mPriority) {
      return aLeft.mRow->mPriority > aRight.mRow->mPriority;
    }
    return aLeft.mRow->mFacts.mDeadline < aRight.mRow->mFacts.mDeadline;
  };
  while (true) {
    auto heads = Heads(aNow);
    std::sort(heads.begin(), heads.end(), moreUrgent);
    const bool served = std::any_of(
      heads.begin(), heads.end(), [&](const Head& aHead) { return Serve(aHead, aNow, aDispatch); });
    if (!served) {
      return;
    }
  }
}

std::vector<QueueSystem::Head> QueueSystem::Heads(TimePoint aNow)
{
  std::vector<Head> heads;
  for (auto& it : mTables.mPools.All()) {
    const auto* next = it.second.mQueue.Next();
    if (next == nullptr) {
      continue;
    }
    auto& pool = mPools.Fresh(it.first);
    auto* row = mTables.mRequests.Find(*next);
    if (mEndpoints.HasRoom(pool, aNow) && LeavesReserve(pool, row->mPriority, aNow)) {
      heads.push_back({ &pool, row });
    }
  }
  return heads;
}

bool QueueSystem::LeavesReserve(PoolRow& aPool, std::uint32_t aPriority, TimePoint aNow)
{
  double higher = 0;
  for (const auto& it : aPool.mArrivals) {
    higher += it.first > aPriority ? it.second.PerSecond(aNow) : 0;
  }
  if (higher < kLeastReservedRate) {
    return true;
  }
  const double window = mEndpoints.Window(aPool);
  const double reserve = std::ceil(window * kReservedPart);
  return window <= reserve + 1 || mEndpoints.Room(aPool, aNow) - 1 >= reserve;
}

bool QueueSystem::Serve(const Head& aHead, TimePoint aNow, const Dispatch& aDispatch)
{
  auto& row = *aHead.mRow;
  auto* endpoint = mEndpoints.Choose(row, *aHead.mPool, aNow);
  if (endpoint == nullptr) {
    return false;
  }
  aHead.mPool->mQueue.CountServed(row.mPriority, row.mTeam);
  Leave(row);
  aDispatch(row, *endpoint);
  return true;
}

std::optional<RefuseStep> QueueSystem::CheckWait(const RequestRow& aRow, TimePoint aNow)
{
  auto& pool = mTables.mPools.Get(aRow.mPool);
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  const double weight = team != nullptr && team->mWeight > 0 ? team->mWeight : 1;
  const double rate = EffectiveRate(pool, aRow.mPriority, aNow);
  auto expected = ExpectedService(aRow, aNow);
  if (rate > 0) {
    expected += FromSeconds(pool.mQueue.Ahead(aRow.mPriority, aRow.mTeam, weight) / rate);
  }
  if (aNow + expected <= aRow.mFacts.mDeadline) {
    return std::nullopt;
  }
  return Refusal(aRow, aNow);
}

std::vector<RefuseStep> QueueSystem::Shed(TimePoint aNow)
{
  std::vector<RefuseStep> refusals;
  for (auto& it : mTables.mPools.All()) {
    ShedPool(it.first, it.second, aNow, refusals);
  }
  return refusals;
}

std::chrono::milliseconds QueueSystem::RetryAfter(const PoolKey& aPool, TimePoint aNow)
{
  auto& pool = mTables.mPools.Get(aPool);
  const double rate = mPools.DrainRate(pool, aNow);
  if (rate <= 0) {
    return kRetryAfterUnknown;
  }
  const auto wait = FromSeconds(static_cast<double>(pool.mQueue.Size()) / rate);
  return std::clamp(
    std::chrono::duration_cast<std::chrono::milliseconds>(wait), kLeastRetryAfter, kMostRetryAfter);
}

std::chrono::microseconds QueueSystem::ExpectedService(const RequestRow& aRow, TimePoint aNow)
{
  const auto& latencies = mTables.mPools.Get(aRow.mPool).mLatency;
  const auto it = latencies.find(aRow.mFacts.mClass);
  return it == latencies.end() ? std::chrono::microseconds(0) : it->second.Mean(aNow);
}

double QueueSystem::EffectiveRate(PoolRow& aPool, std::uint32_t aPriority, TimePoint aNow) const
{
  const double rate = mPools.DrainRate(aPool, aNow);
  double taken = 0;
  for (const auto& it : aPool.mArrivals) {
    if (it.first > aPriority) {
      taken += it.second.PerSecond(aNow);
    }
  }
  return std::max(rate - taken, rate * kLeastRatePart);
}

void QueueSystem::ShedPool(const PoolKey& aKey,
                           PoolRow& aPool,
                           TimePoint aNow,
                           std::vector<RefuseStep>& aOut)
{
  if (aPool.mQueue.IsEmpty()) {
    return;
  }
  const double rate = mPools.DrainRate(aPool, aNow);
  const auto order = aPool.mQueue.Order();
  double ahead = 0;
  const auto most = mTables.mOptions.mMaxQueued;
  (void)aKey;
  for (const auto& it : order) {
    const auto& row = *mTables.mRequests.Find(it);
    auto expected = ExpectedService(row, aNow);
    if (rate > 0) {
      expected += FromSeconds(ahead / rate);
    }
    if (aNow + expected > row.mFacts.mDeadline || ahead >= static_cast<double>(most)) {
      aOut.push_back(Refusal(row, aNow));
      continue;
    }
    ahead += 1;
  }
}

RefuseStep QueueSystem::Refusal(const RequestRow& aRow, TimePoint aNow)
{
  const auto& pool = mTables.mPools.Get(aRow.mPool);
  const bool hosted = !pool.mHosting.empty();
  return NotRunRefusal(aRow.mFacts.mId,
                       503,
                       hosted ? refusal::kOverloaded : refusal::kNoEndpoint,
                       hosted ? "The request would miss its deadline in the queue."
                              : "No endpoint hosts what the request needs.",
                       RetryAfter(aRow.mPool, aNow));
}

} // namespace skylarkchute
