#include "QueueSystem.h"

#include "Refusals.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Minimum fraction of the drain rate that any priority is assumed to get. */
constexpr double kMinRateFraction = 0.02;
/** Fraction of a pool's concurrency window reserved for requests of higher priority while such
    requests arrive. */
constexpr double kReservedFraction = 0.06;
/** Arrival rate of requests of higher priority below which nothing is reserved. */
constexpr double kMinReservedRatePerSecond = 0.1;
constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 60000 };
/** Used while the drain rate of a pool is not known. */
constexpr std::chrono::milliseconds kDefaultRetryAfter{ 1000 };

std::chrono::microseconds FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 86400;
  return std::chrono::microseconds(
    static_cast<std::int64_t>(std::min(aSeconds, kMaxSeconds) * 1e6));
}

} // namespace

void QueueSystem::Enqueue(RequestRow& aRow, TimePoint aNow)
{
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  const double weight = team != nullptr && team->mWeight > 0 ? team->mWeight : 1;
  auto& pool = mPools.RefreshPool(aRow.mPool);
  pool.mQueue.Push(aRow.mPriority, aRow.mTeam, weight, { aRow.mFacts.mDeadline, aRow.mFacts.mId });
  aRow.mPhase = RequestPhase::Queued;
  aRow.mQueuedSince = aNow;
}

void QueueSystem::Remove(const RequestRow& aRow)
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
    const bool served = std::any_of(heads.begin(), heads.end(), [&](const Head& aHead) {
      return DispatchHead(aHead, aNow, aDispatch);
    });
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
    auto& pool = mPools.RefreshPool(it.first);
    auto* row = mTables.mRequests.Find(*next);
    if (mEndpoints.HasCapacity(pool, aNow) && KeepsReserve(pool, row->mPriority, aNow)) {
      heads.push_back({ &pool, row });
    }
  }
  return heads;
}

bool QueueSystem::KeepsReserve(PoolRow& aPool, std::uint32_t aPriority, TimePoint aNow)
{
  double higher = 0;
  for (const auto& it : aPool.mArrivals) {
    higher += it.first > aPriority ? it.second.PerSecond(aNow) : 0;
  }
  if (higher < kMinReservedRatePerSecond) {
    return true;
  }
  const double window = mEndpoints.ConcurrencyWindow(aPool);
  const double reserve = std::ceil(window * kReservedFraction);
  return window <= reserve + 1 || mEndpoints.FreeCapacity(aPool, aNow) - 1 >= reserve;
}

bool QueueSystem::DispatchHead(const Head& aHead, TimePoint aNow, const Dispatch& aDispatch)
{
  auto& row = *aHead.mRow;
  auto* endpoint = mEndpoints.Choose(row, *aHead.mPool, aNow);
  if (endpoint == nullptr) {
    return false;
  }
  aHead.mPool->mQueue.CountServed(row.mPriority, row.mTeam);
  Remove(row);
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
    expected += FromSeconds(pool.mQueue.RequestsAhead(aRow.mPriority, aRow.mTeam, weight) / rate);
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
    return kDefaultRetryAfter;
  }
  const auto wait = FromSeconds(static_cast<double>(pool.mQueue.Size()) / rate);
  return std::clamp(
    std::chrono::duration_cast<std::chrono::milliseconds>(wait), kMinRetryAfter, kMaxRetryAfter);
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
  double higher = 0;
  for (const auto& it : aPool.mArrivals) {
    if (it.first > aPriority) {
      higher += it.second.PerSecond(aNow);
    }
  }
  return std::max(rate - higher, rate * kMinRateFraction);
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
  const auto maxQueued = mTables.mOptions.mMaxQueued;
  (void)aKey;
  for (const auto& it : order) {
    const auto& row = *mTables.mRequests.Find(it);
    auto expected = ExpectedService(row, aNow);
    if (rate > 0) {
      expected += FromSeconds(ahead / rate);
    }
    if (aNow + expected > row.mFacts.mDeadline || ahead >= static_cast<double>(maxQueued)) {
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
                              : "No endpoint hosts the version or service of the request.",
                       RetryAfter(aRow.mPool, aNow));
}

} // namespace skylarkchute
