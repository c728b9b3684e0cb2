#include "EndpointTable.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Age up to which a load report counts fully, and age from which it is ignored. */
constexpr std::chrono::milliseconds kFreshReportAge{ 2000 };
constexpr std::chrono::milliseconds kExpiredReportAge{ 10000 };
/** Share of an endpoint's slots that all instances together aim to use. A value above 1 keeps slots
    from being idle while load reports are delayed. */
constexpr double kTargetUtilization = 1.0;
/** Share of the free slots by which one report enlarges the window. */
constexpr double kWindowGrowth = 0.25;
/** Weight of one answer in the moving average. */
constexpr double kSlownessWeight = 0.2;
constexpr double kSlownessHalfLifeSeconds = 10;
constexpr double kMaxSlowness = 50;

/** Returns the weight of a load report of that age, 0 to 1. */
double Freshness(TimePoint::duration aAge)
{
  if (aAge <= kFreshReportAge) {
    return 1;
  }
  if (aAge >= kExpiredReportAge) {
    return 0;
  }
  return std::chrono::duration<double>(kExpiredReportAge - aAge) /
         std::chrono::duration<double>(kExpiredReportAge - kFreshReportAge);
}

} // namespace

bool EndpointRow::Hosts(const std::string& aLabel) const
{
  return std::find(mLabels.begin(), mLabels.end(), aLabel) != mLabels.end();
}

double EndpointRow::Load(TimePoint aNow) const
{
  return mInFlight + mOtherInstancesLoad * Freshness(aNow - mReportedAt);
}

bool EndpointRow::CanAcceptAttempt(TimePoint aNow, std::uint32_t aDefaultSlots) const
{
  if (IsLeaving() || aNow < mFullUntil || !mBreaker.Allows(aNow)) {
    return false;
  }
  return mInFlight < Window(aDefaultSlots);
}

double EndpointRow::Window(std::uint32_t aDefaultSlots) const
{
  const double slots = Slots(aDefaultSlots);
  return mWindow > 0 ? std::min(mWindow, slots) : slots;
}

void EndpointRow::AdjustWindow(std::uint32_t aReported)
{
  const double slots = mSlots;
  const double target = slots * kTargetUtilization;
  if (mWindow <= 0) {
    mWindow = slots;
  }
  if (aReported > target) {
    mWindow = std::min(mWindow, mInFlight * target / aReported);
  } else {
    mWindow += kWindowGrowth * (1 - aReported / target) * slots;
  }
  mWindow = std::clamp(mWindow, 1.0, std::max(1.0, slots));
}

void EndpointRow::RecordSlowness(double aRatio, TimePoint aNow)
{
  const double ratio = std::min(aRatio, kMaxSlowness);
  mSlowness = Slowness(aNow) * (1 - kSlownessWeight) + ratio * kSlownessWeight;
  mSlownessUpdatedAt = aNow;
}

double EndpointRow::Slowness(TimePoint aNow) const
{
  const double age = std::chrono::duration<double>(aNow - mSlownessUpdatedAt).count();
  return 1 + (mSlowness - 1) * std::exp2(-age / kSlownessHalfLifeSeconds);
}

void EndpointTable::Replace(const std::vector<EndpointRecord>& aRecords)
{
  Rows rows;
  for (const auto& it : aRecords) {
    const auto known = mRows.find(it.mId);
    EndpointRow row;
    if (known != mRows.end()) {
      row = known->second;
    }
    row.mRecord = it;
    rows.insert_or_assign(it.mId, std::move(row));
  }
  mRows.swap(rows);
  ++mGeneration;
}

void EndpointTable::ApplyLoad(const LoadReport& aReport, TimePoint aNow)
{
  auto* row = Find(aReport.mEndpoint);
  if (row == nullptr) {
    return;
  }
  const auto total = aReport.mRunning + aReport.mQueued;
  row->mOtherInstancesLoad = total > row->mInFlight ? total - row->mInFlight : 0;
  row->mReportedAt = aNow;
  row->mSlots = aReport.mSlots;
  row->AdjustWindow(total);
  if (row->mLabels != aReport.mHostedLabels || row->mReportedLeaving != aReport.mLeaving) {
    row->mLabels = aReport.mHostedLabels;
    row->mReportedLeaving = aReport.mLeaving;
    ++mGeneration;
  }
}

EndpointRow* EndpointTable::Find(const EndpointId& aId)
{
  const auto it = mRows.find(aId);
  return it == mRows.end() ? nullptr : &it->second;
}

const EndpointRow* EndpointTable::Find(const EndpointId& aId) const
{
  const auto it = mRows.find(aId);
  return it == mRows.end() ? nullptr : &it->second;
}

} // namespace skylarkchute
