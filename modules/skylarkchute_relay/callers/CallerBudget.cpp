#include "CallerBudget.h"

#include <tuple>
#include <utility>

namespace skylarkchute {

namespace {

/** What a connection takes in any case: its objects, timers and the reader of its next request. */
constexpr std::size_t kConnectionBytes = 4096;

/** Connections that hold more than this share only kLargeShare of the bytes, so that requests of
    ordinary length are served beside the largest ones. */
constexpr std::size_t kSmallBytes = 256 * 1024;
constexpr double kLargeShare = 0.75;

/** Time without progress after which a connection may be ended to make room for a new request or
    connection. An ordinary caller sends a request within a fraction of it. */
constexpr std::chrono::milliseconds kStallTime{ 1000 };

} // namespace

CallerBudget::Account::Account(CallerBudget& aBudget,
                               TimePoint aNow,
                               std::function<void()> aGiveWay)
  : mBudget(aBudget)
  , mGiveWay(std::move(aGiveWay))
  , mBytes(kConnectionBytes)
  , mSince(aNow)
{
  mBudget.mAccounts.insert(this);
  mBudget.mBytes += mBytes;
}

CallerBudget::Account::~Account()
{
  mBudget.mBytes -= mBytes;
  mBudget.mAccounts.erase(this);
}

bool CallerBudget::Account::Hold(Phase aPhase, std::size_t aBytes, TimePoint aNow)
{
  if (aPhase != mPhase) {
    mPhase = aPhase;
    mSince = aNow;
  }
  mWasServed = mWasServed || aPhase == Phase::Serving || aPhase == Phase::Pipelining;
  const auto bytes = kConnectionBytes + aBytes;
  const bool grows = bytes > mBytes;
  mBudget.mBytes += bytes;
  mBudget.mBytes -= std::exchange(mBytes, bytes);
  while (grows && !mGaveWay && mBudget.mBytes > mBudget.LimitFor(mBytes)) {
    auto* heaviest = mBudget.Heaviest(aNow, aNow);
    if (heaviest == nullptr) {
      break;
    }
    ++mBudget.mCounts.mGaveWay;
    if (heaviest == this) {
      mGaveWay = true;
      return false;
    }
    mBudget.EndFor(*heaviest);
  }
  return true;
}

std::size_t CallerBudget::LimitFor(std::size_t aBytes) const
{
  const auto share = aBytes > kSmallBytes ? kLargeShare : 1.0;
  return static_cast<std::size_t>(static_cast<double>(mBounds.mBytes) * share);
}

/** Returns the connection that has held most for longest, of those without progress since
    @p aBefore; null when there is none. */
CallerBudget::Account* CallerBudget::Heaviest(TimePoint aNow, TimePoint aBefore) const
{
  Account* heaviest = nullptr;
  double most = 0;
  for (auto* it : mAccounts) {
    const bool mayEnd = it->mPhase == Phase::Receiving || it->mPhase == Phase::Sending;
    if (!mayEnd || it->mGaveWay || it->mSince > aBefore) {
      continue;
    }
    const auto held = aNow - it->mSince + std::chrono::milliseconds(1);
    const auto weight =
      static_cast<double>(it->mBytes) * std::chrono::duration<double>(held).count();
    if (weight > most) {
      most = weight;
      heaviest = it;
    }
  }
  return heaviest;
}

/** Returns the connection that is ended first to make room for a new one, null when none may be.
    First come those that only discard bytes, then those that never had a complete request, then the
    others without a request in progress; last those whose callers did not wait for the response.
    Among equals it is the one without progress for longest. */
CallerBudget::Account* CallerBudget::LongestWaiting(TimePoint aNow) const
{
  const auto rank = [](const Account& aAccount) {
    return std::tuple(aAccount.mPhase != Phase::Lingering,
                      aAccount.mPhase == Phase::Pipelining,
                      aAccount.mWasServed,
                      aAccount.mSince);
  };
  Account* longest = nullptr;
  for (auto* it : mAccounts) {
    if (it->MayEndForNew(aNow) && (longest == nullptr || rank(*it) < rank(*longest))) {
      longest = it;
    }
  }
  return longest;
}

bool CallerBudget::Account::MayEndForNew(TimePoint aNow) const
{
  switch (mGaveWay ? Phase::Serving : mPhase) {
    case Phase::Serving:
      return false;
    case Phase::Receiving:
    case Phase::Sending:
      // A connection that was just opened may not have had the time to send its request.
      return aNow - mSince >= kStallTime;
    case Phase::Idle:
    case Phase::Pipelining:
    case Phase::Lingering:
      return true;
  }
  return false;
}

void CallerBudget::EndFor(Account& aAccount)
{
  aAccount.mGaveWay = true;
  // The connection may destroy the account.
  const auto giveWay = std::move(aAccount.mGiveWay);
  giveWay();
}

bool CallerBudget::MayConnect(TimePoint aNow)
{
  if (mAccounts.size() < mBounds.mConnections) {
    return true;
  }
  if (auto* waiting = LongestWaiting(aNow)) {
    ++mCounts.mEndedForNew;
    EndFor(*waiting);
  }
  if (mAccounts.size() < mBounds.mConnections) {
    return true;
  }
  ++mCounts.mRefusedConnections;
  return false;
}

bool CallerBudget::MayReceive(std::size_t aBytes, TimePoint aNow)
{
  const auto limit = LimitFor(aBytes);
  while (mBytes + aBytes > limit) {
    auto* heaviest = Heaviest(aNow, aNow - kStallTime);
    if (heaviest == nullptr) {
      ++mCounts.mRefusedRequests;
      return false;
    }
    ++mCounts.mGaveWay;
    EndFor(*heaviest);
  }
  return true;
}

CallerBudget::Counts CallerBudget::TakeCounts()
{
  return std::exchange(mCounts, Counts{});
}

} // namespace skylarkchute
