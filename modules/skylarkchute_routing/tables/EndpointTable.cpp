#include "EndpointTable.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kReportFresh{ 2000 };
constexpr std::chrono::milliseconds kReportForgotten{ 10000 };
/** Part of the slots that all instances together aim to fill; above one, so that reports that are
    late leave no slot idle. */
constexpr double kTargetFill = 1.0;
/** Part of the free slots that one report adds to the window. */
constexpr double kWindowGrowth = 0.25;
constexpr double kSlownessWeight = 0.2;
constexpr double kSlownessHalfLifeSeconds = 10;
constexpr double kMostSlowness = 50;

/** Returns how much of a report of that age still counts, 0 to 1. */
double Freshness(TimePoint::duration aAge)
{
  if (aAge <= kReportFresh) {
    return 1;
  }
  if (aAge >= kReportForgotten) {
    return 0;
  }
  return std::chrono::duration<double>(kReportForgotten - aAge) /
         std::chrono::duration<double>(kReportForgotten - kReportFresh);
}

} // namespace

bool EndpointRow::Hosts(const std::string& aLabel) const
{
  return std::find(mLabels.begin(), mLabels.end(), aLabel) != mLabels.end();
}

double EndpointRow::Load(TimePoint aNow) const
{
  return mInFlight + mOthers * Freshness(aNow - mReportedAt);
}

bool EndpointRow::CanTake(TimePoint aNow, std::uint32_t aDefaultSlots) const
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
  const double target = slots * kTargetFill;
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
  const double ratio = std::min(aRatio, kMostSlowness);
  mSlowness = Slowness(aNow) * (1 - kSlownessWeight) + ratio * kSlownessWeight;
  mSlownessAt = aNow;
}

double EndpointRow::Slowness(TimePoint aNow) const
{
  const double age = std::chrono::duration<double>(aNow - mSlownessAt).count();
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
  row->mOthers = total > row->mInFlight ? total - row->mInFlight : 0;
  row->mReportedAt = aNow;
  row->mSlots = aReport.mSlots;
  row->AdjustWindow(total);
  if (row->mLabels != aReport.mHostedLabels || row->mSaidLeaving != aReport.mLeaving) {
    row->mLabels = aReport.mHostedLabels;
    row->mSaidLeaving = aReport.mLeaving;
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
