#include "FleetTable.h"

#include "LoadDigest.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Reports older than this are ignored; only this instance's own attempts count then. */
constexpr std::chrono::milliseconds kReportLifetime{ 1500 };

/** The same for services whose load is known fleet-wide: requests at engines run for seconds, and
   one instance hears from an engine only every 10 s or so. */
constexpr std::chrono::milliseconds kFleetReportLifetime{ 5000 };

/** Free slots that FleetRow::Crowding counts at a full endpoint. */
constexpr double kMinFreeSlots = 0.5;

/** The mean load of a service's endpoints is known once the weights of the reports add up to this
    part of the endpoints; with fewer it falls towards this instance's own attempts. */
constexpr double kMinKnownShare = 0.1;

/** Number of running requests that one waiting request counts as in Pressure(). */
constexpr double kWaitingWeight = 3;

} // namespace

bool FleetRow::HasFreshReport(TimePoint aNow) const
{
  const auto lifetime = mUsesFleetLoad ? kFleetReportLifetime : kReportLifetime;
  return mReportedAt != TimePoint{} && aNow - mReportedAt < lifetime;
}

double FleetRow::ReportWeight(TimePoint aNow) const
{
  if (!HasFreshReport(aNow)) {
    return 0;
  }
  const auto lifetime = mUsesFleetLoad ? kFleetReportLifetime : kReportLifetime;
  return 1 - std::chrono::duration<double>(aNow - mReportedAt) / lifetime;
}

double FleetRow::ReportedOthers() const
{
  const double reported = mReport.mRunning + mReport.mWaiting;
  return std::max(0.0, reported - mOutstandingAtReport);
}

double FleetRow::EstimatedLoad(TimePoint aNow) const
{
  const double typical = mUsesFleetLoad ? mTypicalOthers : 0;
  return KnownLoad(aNow) + typical * (1 - ReportWeight(aNow));
}

double FleetRow::KnownLoad(TimePoint aNow) const
{
  return mOutstanding + ReportedOthers() * ReportWeight(aNow);
}

double FleetRow::Crowding(double aLoad, double aSlots)
{
  // Like the mean stay in a queue: it grows without bound as the endpoint fills.
  return 1 / std::max(1 - aLoad / aSlots, kMinFreeSlots / aSlots);
}

double FleetRow::Slots() const
{
  return std::max(1U, mReport.mSlots > 0 ? mReport.mSlots : mEntry.mSlots);
}

bool FleetRow::OnReport(const ReportedLoad& aLoad, TimePoint aAt, TimePoint aNow)
{
  if (aAt < mReportedAt) {
    return false;
  }
  const auto plannedSince = static_cast<std::uint32_t>(
    std::count_if(mLastPlanned.begin(), mLastPlanned.end(), [&](TimePoint aPlanned) {
      return aAt < aNow && aPlanned > aAt;
    }));
  mReport = aLoad;
  mReportedAt = aAt;
  mReportSends = 0;
  mOutstandingAtReport = mOutstanding - std::min(mOutstanding, plannedSince);
  if (aLoad.mPace) {
    mStatesPace = true;
    mPace.OnPace(*aLoad.mPace, aAt);
  }
  return true;
}

void FleetRow::OnPlanned(TimePoint aNow)
{
  ++mOutstanding;
  mLastPlanned[mPlanned++ % mLastPlanned.size()] = aNow;
}

void FleetTable::Upsert(const FleetEndpoint& aEntry)
{
  const auto [found, isNew] = mRows.try_emplace(aEntry.mId);
  auto& row = found->second;
  const bool isNewIncarnation = isNew || row.mEntry.mIncarnationStart != aEntry.mIncarnationStart ||
                                row.mEntry.mAddress != aEntry.mAddress;
  if (isNew) {
    RestoreNotices(row, aEntry);
  } else if (isNewIncarnation) {
    const auto outstanding = row.mOutstanding;
    const auto typical = row.mTypicalOthers;
    const bool usesFleetLoad = row.mUsesFleetLoad;
    const auto notices =
      row.mEntry.mIncarnationStart == aEntry.mIncarnationStart ? row.mNotices : EndpointNotices{};
    row = FleetRow{};
    row.mOutstanding = outstanding;
    row.mTypicalOthers = typical;
    row.mUsesFleetLoad = usesFleetLoad;
    row.mNotices = notices;
  }
  row.mWarmth.OnEntry(isNewIncarnation, aEntry.mRemainingWarmup);
  const bool wasDraining = row.mEntry.mDraining;
  row.mEntry = aEntry;
  row.mDigestKey = LoadDigest::KeyOf(aEntry);
  // A store that was restored from a copy shows entries from before they were draining.
  row.mEntry.mDraining = wasDraining || aEntry.mDraining || mDepartures.HasAnnounced(aEntry);
  row.mIsLeavingUnseen = row.mEntry.mDraining && !aEntry.mDraining;
  row.mWasRemoved = mDepartures.WasRemoved(aEntry);
  row.mMissingSince.reset();
  mEra = std::max(mEra, aEntry.mEra);
  if (row.IsOpen()) {
    mDepartures.Forget(aEntry.mId);
  }
}

void FleetTable::Remove(const EndpointId& aId, bool aMayReregister, TimePoint aNow)
{
  const auto found = mRows.find(aId);
  if (found == mRows.end()) {
    return;
  }
  if (aMayReregister && !found->second.mEntry.mDraining) {
    if (!found->second.mMissingSince) {
      found->second.mMissingSince = aNow;
    }
    return;
  }
  mDepartures.Add(DepartureOf(found->second), aNow);
  KeepNotices(found->second, aNow);
  mRows.erase(found);
}

void FleetTable::KeepNotices(const FleetRow& aRow, TimePoint aNow)
{
  mFormerNotices[aRow.mEntry.mId] = { aRow.mEntry.mIncarnationStart, aRow.mNotices, aNow };
}

void FleetTable::RestoreNotices(FleetRow& aRow, const FleetEndpoint& aEntry)
{
  const auto former = mFormerNotices.extract(aEntry.mId);
  if (!former.empty() && former.mapped().mIncarnationStart == aEntry.mIncarnationStart) {
    aRow.mNotices = former.mapped().mNotices;
  }
}

EndpointDeparture FleetTable::DepartureOf(const FleetRow& aRow)
{
  const auto& entry = aRow.mEntry;
  return { entry.mId,
           entry.mIncarnationStart,
           entry.mDraining || aRow.mNotices.IsLeaving(),
           entry.mEra,
           entry.mRevision };
}

bool FleetTable::OnDeparture(const EndpointDeparture& aDeparture, TimePoint aNow)
{
  auto* row = Find(aDeparture.mId);
  if (row == nullptr) {
    mDepartures.Add(aDeparture, aNow);
    return false;
  }
  if (row->mEntry.mIncarnationStart > aDeparture.mIncarnationStart) {
    return false;
  }
  mDepartures.Add(aDeparture, aNow);
  if (row->mEntry.mIncarnationStart != aDeparture.mIncarnationStart) {
    return false;
  }
  const bool wasOpen = row->IsOpen();
  row->mIsLeavingUnseen =
    row->mIsLeavingUnseen || (aDeparture.mIsAnnounced && !row->mEntry.mDraining);
  row->mEntry.mDraining = row->mEntry.mDraining || aDeparture.mIsAnnounced;
  row->mWasRemoved = mDepartures.WasRemoved(row->mEntry);
  return wasOpen && !row->IsOpen();
}

std::vector<EndpointDeparture> FleetTable::Departures(TimePoint aNow) const
{
  auto departures = mDepartures.Before(mEra, aNow);
  for (const auto& [id, row] : mRows) {
    const bool isUnseen =
      row.mIsLeavingUnseen || (row.mNotices.IsLeaving() && !row.mEntry.mDraining);
    const auto isListed = [&id = id](const EndpointDeparture& aOther) { return aOther.mId == id; };
    if (isUnseen && std::none_of(departures.begin(), departures.end(), isListed)) {
      departures.push_back(DepartureOf(row));
    }
  }
  return departures;
}

std::vector<EndpointId> FleetTable::DropExpired(TimePoint aNow)
{
  mDepartures.DropExpired(aNow);
  std::erase_if(mFormerNotices, [&](const auto& aEntry) {
    return aNow - aEntry.second.mDroppedAt > EndpointNotices::kMaxPause;
  });
  std::vector<EndpointId> dropped;
  for (auto it = mRows.begin(); it != mRows.end();) {
    if (it->second.mMissingSince && aNow - *it->second.mMissingSince >= kReregistrationPeriod) {
      dropped.push_back(it->first);
      KeepNotices(it->second, aNow);
      it = mRows.erase(it);
    } else {
      it->second.mWasRemoved = mDepartures.WasRemoved(it->second.mEntry);
      ++it;
    }
  }
  return dropped;
}

FleetRow* FleetTable::Find(const EndpointId& aId)
{
  const auto found = mRows.find(aId);
  return found == mRows.end() ? nullptr : &found->second;
}

bool FleetTable::SetEvacuated(const ZoneName& aZone, bool aIsEvacuated)
{
  if (aIsEvacuated) {
    return mEvacuated.insert(aZone).second;
  }
  if (mEvacuated.erase(aZone) == 0) {
    return false;
  }
  for (auto& [id, row] : mRows) {
    if (row.mEntry.mZone == aZone) {
      row.mWarmth.OnUnseen();
    }
  }
  return true;
}

bool FleetTable::MayContact(const EndpointId& aId) const
{
  const auto found = mRows.find(aId);
  return found == mRows.end() || !IsEvacuated(found->second.mEntry.mZone);
}

bool FleetTable::IsUsable(const FleetRow& aRow) const
{
  return aRow.IsOpen() && !mIsHeld && !IsEvacuated(aRow.mEntry.mZone);
}

std::vector<FleetRow*> FleetTable::OpenRows(const ServiceName& aService)
{
  std::vector<FleetRow*> rows;
  for (auto& [id, row] : mRows) {
    if (row.mEntry.mService == aService && IsUsable(row)) {
      rows.push_back(&row);
    }
  }
  return rows;
}

bool FleetTable::StatesPace(const ServiceName& aService) const
{
  return std::any_of(mRows.begin(), mRows.end(), [&](const auto& aEntry) {
    return aEntry.second.mStatesPace && aEntry.second.mEntry.mService == aService;
  });
}

void FleetTable::UpdateLimitShares(EndpointLimitShares& aShares, TimePoint aNow)
{
  std::map<ServiceName, std::size_t> counts;
  bool hasLimits = false;
  for (const auto& [id, row] : mRows) {
    ++counts[row.mEntry.mService];
    hasLimits = hasLimits || row.mNotices.Limit();
  }
  if (!hasLimits) {
    return;
  }
  std::map<ServiceName, std::size_t> positions;
  for (auto& [id, row] : mRows) {
    const auto& service = row.mEntry.mService;
    const auto position = positions[service]++;
    if (const auto limit = row.mNotices.Limit()) {
      row.mNotices.SetShare(aShares.ShareOf(service, position, counts[service], *limit), aNow);
    }
  }
}

double FleetTable::Pressure(const ServiceName& aService, TimePoint aNow) const
{
  double requests = 0;
  double slots = 0;
  for (const auto& [id, row] : mRows) {
    if (row.mEntry.mService != aService || !IsUsable(row)) {
      continue;
    }
    slots += row.mEntry.mSlots;
    if (row.mUsesFleetLoad && (row.mTypicalOthers > 0 || row.HasFreshReport(aNow))) {
      const double waiting = row.mReport.mWaiting * row.ReportWeight(aNow);
      requests += row.EstimatedLoad(aNow) + (kWaitingWeight - 1) * waiting;
    } else if (row.HasFreshReport(aNow)) {
      requests += row.mReport.mRunning + kWaitingWeight * row.mReport.mWaiting;
    } else {
      requests += static_cast<double>(row.mOutstanding * mInstances);
    }
  }
  return slots == 0 ? 0 : requests / slots;
}

void FleetTable::UpdateTypicalLoads(TimePoint aNow)
{
  struct Sum
  {
    double mOthers = 0;
    double mKnownSlots = 0;
    double mSlots = 0;
  };
  std::map<ServiceName, Sum> sums;
  for (const auto& [id, row] : mRows) {
    if (row.mUsesFleetLoad && row.IsOpen()) {
      auto& sum = sums[row.mEntry.mService];
      const double weight = row.ReportWeight(aNow);
      sum.mOthers += weight * row.ReportedOthers();
      sum.mKnownSlots += weight * row.Slots();
      sum.mSlots += row.Slots();
    }
  }
  for (auto& [id, row] : mRows) {
    const auto found = row.mUsesFleetLoad ? sums.find(row.mEntry.mService) : sums.end();
    if (found != sums.end()) {
      const auto& sum = found->second;
      const double slots = std::max(sum.mKnownSlots, kMinKnownShare * sum.mSlots);
      row.mTypicalOthers = row.Slots() * sum.mOthers / slots;
    }
  }
}

std::chrono::milliseconds FleetTable::ViewAge(const ServiceName& aService, TimePoint aNow) const
{
  std::chrono::duration<double, std::milli> sum{ 0 };
  std::size_t count = 0;
  for (const auto& [id, row] : mRows) {
    if (row.mEntry.mService == aService && row.IsOpen() && row.HasFreshReport(aNow)) {
      sum += aNow - row.mReportedAt;
      ++count;
    }
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    sum / static_cast<double>(std::max<std::size_t>(count, 1)));
}

double FleetTable::ViewShare(const ServiceName& aService, TimePoint aNow) const
{
  std::size_t known = 0;
  std::size_t count = 0;
  for (const auto& [id, row] : mRows) {
    // Endpoints of evacuated zones get no requests, so that nothing is heard from them.
    if (row.mEntry.mService == aService && row.IsOpen() && !IsEvacuated(row.mEntry.mZone)) {
      known += row.HasFreshReport(aNow) ? 1 : 0;
      ++count;
    }
  }
  return count == 0 ? 1 : static_cast<double>(known) / static_cast<double>(count);
}

} // namespace skylarkchute
