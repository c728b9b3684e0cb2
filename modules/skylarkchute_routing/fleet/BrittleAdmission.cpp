#include "BrittleAdmission.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Requests that an endpoint may get, as a multiple of its part, while others are full. */
constexpr double kMaxLoadShift = 1.4;

/** Estimate of the requests that may wait at an endpoint, for each slot, until one rejects. */
constexpr double kDefaultPlacesPerSlot = 0.25;

/** Reports show how many may wait from this time on after a service began to be brittle. Earlier
    ones may be of requests that have waited since before. */
constexpr std::chrono::milliseconds kSettlingTime{ 6000 };

/** An endpoint is full when this share of the places to wait is taken. */
constexpr double kFullShare = 0.5;

/** It shows that its service is congested when N / (N + kCongestionLimit) of the places are taken,
    where N is the number of rejections per second that it survives. */
constexpr double kCongestionLimit = 6;

/** Weight of a rejection in the number of places. */
constexpr double kPlacesWeight = 0.3;

} // namespace

void BrittleAdmission::Update(const FleetTable& aTable, TimePoint aNow)
{
  for (auto& [name, service] : mServices) {
    service.mIsNamed = false;
  }
  for (const auto& [id, row] : aTable.All()) {
    const auto limit = row.mNotices.RejectionLimit();
    if (!limit) {
      continue;
    }
    const auto [found, isNew] = mServices.try_emplace(row.mEntry.mService);
    auto& service = found->second;
    if (isNew) {
      service.mSince = aNow;
    }
    service.mRejectionLimit = service.mIsNamed ? std::min(service.mRejectionLimit, *limit) : *limit;
    service.mIsNamed = true;
  }
  std::erase_if(mServices, [](const auto& aEntry) { return !aEntry.second.mIsNamed; });
}

/** Returns the rejections per second that an endpoint survives, or nothing unless it is brittle.
    One that has said nothing since others of its service began to say so counts as brittle. */
std::optional<double> BrittleAdmission::RejectionLimitOf(const FleetRow& aRow) const
{
  const auto* service = Find(aRow.mEntry.mService);
  if (service != nullptr && aRow.mNotices.SaidAt() < service->mSince) {
    return service->mRejectionLimit;
  }
  return aRow.mNotices.RejectionLimit();
}

const BrittleAdmission::Service* BrittleAdmission::Find(const ServiceName& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? nullptr : &found->second;
}

/** Returns the requests that may wait at an endpoint, as far as this instance knows. */
double BrittleAdmission::PlacesOf(const Service& aService, const FleetRow& aRow)
{
  return aService.mPlaces.value_or(kDefaultPlacesPerSlot * aRow.mReport.mSlots);
}

/** Returns whether the last report of an endpoint shows so little room that it might reject. */
bool BrittleAdmission::IsFull(const Service& aService, const FleetRow& aRow, double aShare)
{
  const auto& load = aRow.mReport;
  return load.mWaiting >= std::max(1.0, PlacesOf(aService, aRow) * aShare) ||
         (aService.mIsEngine && load.mRunning >= load.mSlots);
}

void BrittleAdmission::OnReport(FleetRow& aRow, bool aIsEngine, TimePoint aNow)
{
  const auto found = mServices.find(aRow.mEntry.mService);
  if (found == mServices.end()) {
    return;
  }
  auto& service = found->second;
  service.mIsEngine = aIsEngine;
  const double waiting = aRow.mReport.mWaiting;
  if (RejectionLimitOf(aRow) && aNow - service.mSince >= kSettlingTime &&
      waiting > PlacesOf(service, aRow)) {
    service.mPlaces = waiting;
  }
  if (IsFull(service, aRow, kFullShare)) {
    aRow.mRoom.OnFull(mInstances, aNow);
  } else {
    aRow.mRoom.OnFree(aNow);
  }
  const double congestedShare =
    service.mRejectionLimit / (service.mRejectionLimit + kCongestionLimit);
  service.mThrottle.OnSample(IsFull(service, aRow, congestedShare), service.mRejectionLimit, aNow);
}

void BrittleAdmission::OnNotReached(FleetRow& aRow, const FleetTable& aTable)
{
  const auto found = mServices.find(aRow.mEntry.mService);
  if (found == mServices.end() || !aRow.mRoom.OnNotReached()) {
    return;
  }
  double others = 0;
  for (const auto& [id, row] : aTable.All()) {
    if (row.mEntry.mService == aRow.mEntry.mService && row.IsOpen() && !row.mRoom.IsLost()) {
      others += row.mEntry.mSlots;
    }
  }
  const double lost = std::max(1U, aRow.mEntry.mSlots);
  found->second.mThrottle.OnRoomLost(lost / (lost + others));
}

void BrittleAdmission::OnRejected(FleetRow& aRow, double aSpread, TimePoint aNow)
{
  const auto found = mServices.find(aRow.mEntry.mService);
  const auto limit = RejectionLimitOf(aRow);
  if (found == mServices.end() || !limit) {
    return;
  }
  auto& places = found->second.mPlaces;
  const double waiting = aRow.mReport.mWaiting;
  places = places ? *places + kPlacesWeight * (waiting - *places) : waiting;
  aRow.mRoom.OnRejected(*limit, mInstances, aSpread, aNow);
}

void BrittleAdmission::RemoveFull(std::vector<FleetRow*>& aRows,
                                  const AdmissionRequest& aRequest,
                                  TimePoint aNow) const
{
  const auto* service = aRows.empty() ? nullptr : Find(aRows.front()->mEntry.mService);
  if (service == nullptr) {
    return;
  }
  std::vector<FleetRow*> sound;
  std::vector<FleetRow*> open;
  for (auto* it : aRows) {
    if (!RejectionLimitOf(*it)) {
      sound.push_back(it);
    } else if (it->mRoom.WaitTime(aNow) <= std::chrono::milliseconds(0)) {
      open.push_back(it);
    }
  }
  const auto brittle = static_cast<double>(aRows.size() - sound.size());
  const double shift = std::min(1.0, kMaxLoadShift * static_cast<double>(open.size()) / brittle);
  const bool mayUseBrittle =
    !aRequest.mWasRejected && aRequest.mDraw < shift * service->mThrottle.Share(aRequest.mRank);
  aRows = std::move(sound);
  if (mayUseBrittle) {
    aRows.insert(aRows.end(), open.begin(), open.end());
  }
}

double BrittleAdmission::ShareOf(const ServiceName& aService) const
{
  const auto* service = Find(aService);
  return service == nullptr ? 1 : service->mThrottle.Share(0);
}

std::chrono::milliseconds BrittleAdmission::WaitTime(const std::vector<FleetRow*>& aRows,
                                                     TimePoint aNow) const
{
  const auto* service = Find(aRows.front()->mEntry.mService);
  if (service == nullptr) {
    return std::chrono::milliseconds(0);
  }
  auto wait = std::chrono::milliseconds::max();
  for (const auto* it : aRows) {
    wait = std::min(wait, it->mRoom.WaitTime(aNow));
  }
  return std::max(wait, service->mThrottle.RecoveryTime());
}

} // namespace skylarkchute
