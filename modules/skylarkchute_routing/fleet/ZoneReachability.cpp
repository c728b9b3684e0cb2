#include "ZoneReachability.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Endpoints of a zone that must have failed within kEvidenceLifetime, or all of the zone if it has
    fewer, but at least two: one alone may be down by itself. */
constexpr std::size_t kRequiredFailures = 3;
constexpr std::size_t kMaxRequiredFailures = 8;
constexpr std::size_t kMinConnectFailures = 2;
constexpr milliseconds kEvidenceLifetime{ 3000 };

/** A request may test a zone if this much time is left until its target latency, so that a failed
    connect does not make it late. */
constexpr milliseconds kProbeTime{ 100 };

/** Once a test is overdue by kProbeOverdue, any request may be the one that has kOverdueProbeTime
    until its deadline. */
constexpr milliseconds kProbeOverdue = ZoneReachability::kProbeInterval;
constexpr milliseconds kOverdueProbeTime{ 300 };

/** The connect timeout is this multiple of the recent maximum, within the limits. The least leaves
    requests with a target latency of 100 ms time for another endpoint; the most is the usual
    timeout. The maximum shrinks by kMaximumDecay with each connection. */
constexpr int kConnectTimeoutFactor = 4;
constexpr milliseconds kMinConnectTimeout{ 50 };
constexpr milliseconds kMaxConnectTimeout{ 250 };
constexpr double kMaximumDecay = 0.9;

template<typename T>
bool Contains(const std::vector<T>& aItems, const T& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

/** Returns the rows for which a condition holds. */
template<typename Condition>
std::vector<FleetRow*> RowsWhere(const std::vector<FleetRow*>& aRows, const Condition& aCondition)
{
  std::vector<FleetRow*> rows;
  std::copy_if(aRows.begin(), aRows.end(), std::back_inserter(rows), aCondition);
  return rows;
}

} // namespace

void ZoneReachability::SetTolerated(std::uint32_t aZones)
{
  mIsInForce = aZones > 0;
  if (mIsInForce) {
    return;
  }
  for (auto& [name, zone] : mZones) {
    if (zone.mIsAvoided) {
      Open(name, zone);
    }
  }
  mZones.clear();
}

bool ZoneReachability::OnReached(const ZoneName& aZone, TimePoint aNow)
{
  if (!mIsInForce) {
    return false;
  }
  auto& zone = mZones[aZone];
  zone.mAnsweredAt = aNow;
  const bool wasAvoided = zone.mIsAvoided;
  if (wasAvoided) {
    Open(aZone, zone);
  } else {
    for (const auto& [endpoint, failure] : zone.mFailures) {
      zone.mRefuted[endpoint] = failure.mTime;
    }
    zone.mFailures.clear();
  }
  Judge(aNow);
  return wasAvoided;
}

void ZoneReachability::OnNotReached(const FleetEndpoint& aEndpoint,
                                    bool aIsConnectFailure,
                                    std::size_t aEndpoints,
                                    TimePoint aNow)
{
  if (!mIsInForce) {
    return;
  }
  auto& zone = mZones[aEndpoint.mZone];
  zone.mEndpoints = aEndpoints;
  auto& failure = zone.mFailures[aEndpoint.mId];
  failure.mTime = aNow;
  failure.mIncarnationStart = aEndpoint.mIncarnationStart;
  failure.mIsConnectFailure = failure.mIsConnectFailure || aIsConnectFailure;
  Judge(aNow);
}

void ZoneReachability::OnConnected(const ZoneName& aZone, std::chrono::microseconds aTime)
{
  if (!mIsInForce) {
    return;
  }
  auto& longest = mZones[aZone].mConnectTime;
  const auto former = longest.value_or(aTime) * kMaximumDecay;
  longest = std::max(aTime, std::chrono::duration_cast<std::chrono::microseconds>(former));
}

std::optional<milliseconds> ZoneReachability::ConnectTimeout(const ZoneName& aZone) const
{
  const auto found = mZones.find(aZone);
  if (found == mZones.end() || !found->second.mConnectTime) {
    return std::nullopt;
  }
  const auto timeout = *found->second.mConnectTime * kConnectTimeoutFactor;
  return std::clamp(
    std::chrono::ceil<milliseconds>(timeout), kMinConnectTimeout, kMaxConnectTimeout);
}

bool ZoneReachability::IsAvoided(const ZoneName& aZone) const
{
  const auto found = mZones.find(aZone);
  return found != mZones.end() && found->second.mIsAvoided;
}

bool ZoneReachability::IsSuspected(const ZoneName& aZone) const
{
  const auto found = mZones.find(aZone);
  return found != mZones.end() && !found->second.mFailures.empty();
}

std::size_t ZoneReachability::RequiredFailures(const Zone& aZone) const
{
  auto required = kRequiredFailures;
  for (const auto& [name, zone] : mZones) {
    required += zone.mRefuted.size();
  }
  required = std::min({ required, kMaxRequiredFailures, aZone.mEndpoints });
  return std::max(required, kMinConnectFailures);
}

bool ZoneReachability::IsCutOff(const ZoneName& aName, const Zone& aZone) const
{
  const auto isConnectFailure = [](const auto& aEntry) { return aEntry.second.mIsConnectFailure; };
  const auto connectFailures =
    std::count_if(aZone.mFailures.begin(), aZone.mFailures.end(), isConnectFailure);
  if (aZone.mFailures.size() < RequiredFailures(aZone) ||
      static_cast<std::size_t>(connectFailures) < kMinConnectFailures) {
    return false;
  }
  auto first = TimePoint::max();
  for (const auto& [endpoint, failure] : aZone.mFailures) {
    first = std::min(first, failure.mTime);
  }
  // If no other zone answers either, this instance is partitioned from all endpoints.
  return std::any_of(mZones.begin(), mZones.end(), [&](const auto& aEntry) {
    const auto& [name, zone] = aEntry;
    return name != aName && zone.mAnsweredAt && *zone.mAnsweredAt >= first;
  });
}

/** Drops expired failures, and avoids the zones that are cut off by those that are left. */
void ZoneReachability::Judge(TimePoint aNow)
{
  for (auto& [name, zone] : mZones) {
    std::erase_if(zone.mRefuted,
                  [&](const auto& aEntry) { return aNow - aEntry.second > kEvidenceLifetime; });
    if (!zone.mIsAvoided) {
      std::erase_if(zone.mFailures, [&](const auto& aEntry) {
        return aNow - aEntry.second.mTime > kEvidenceLifetime;
      });
    }
  }
  for (auto& [name, zone] : mZones) {
    if (!zone.mIsAvoided && IsCutOff(name, zone)) {
      zone.mIsAvoided = true;
      zone.mNextProbe = aNow + kProbeInterval;
      mChanges.push_back({ name, true, zone.mFailures.size() });
    }
  }
}

void ZoneReachability::Open(const ZoneName& aName, Zone& aZone)
{
  mChanges.push_back({ aName, false, aZone.mFailures.size() });
  aZone.mIsAvoided = false;
  aZone.mFailures.clear();
}

bool ZoneReachability::TakeProbe(const ZoneName& aZone, const ZoneRequest& aRequest, TimePoint aNow)
{
  auto& zone = mZones[aZone];
  if (!aRequest.mMayProbe || aNow < zone.mNextProbe) {
    return false;
  }
  const bool isOverdue = aNow >= zone.mNextProbe + kProbeOverdue;
  const bool hasTime =
    aRequest.mToTarget >= kProbeTime || (isOverdue && aRequest.mToEnd >= kOverdueProbeTime);
  if (!hasTime) {
    return false;
  }
  zone.mNextProbe = aNow + kProbeInterval;
  return true;
}

ZoneSelection ZoneReachability::Select(const std::vector<FleetRow*>& aRows,
                                       const ZoneRequest& aRequest,
                                       TimePoint aNow)
{
  const auto untried = RowsWhere(
    aRows, [&](const FleetRow* aRow) { return !Contains(aRequest.mTried, aRow->mEntry.mId); });
  std::vector<FleetRow*> reachable;
  for (auto* it : untried) {
    const auto& zone = it->mEntry.mZone;
    if (!IsAvoided(zone)) {
      reachable.push_back(it);
    } else if (TakeProbe(zone, aRequest, aNow)) {
      return { RowsWhere(untried, [&](const FleetRow* aRow) { return aRow->mEntry.mZone == zone; }),
               true,
               false };
    }
  }
  if (reachable.empty() && !untried.empty()) {
    mCutOffServices.try_emplace(untried.front()->mEntry.mService, false);
  }
  if (reachable.empty()) {
    return { untried, false, !untried.empty() };
  }
  const auto others = RowsWhere(reachable, [&](const FleetRow* aRow) {
    return !Contains(aRequest.mNotReached, aRow->mEntry.mZone);
  });
  if (aRequest.mNotReached.empty() || others.empty()) {
    return { reachable, false, false };
  }
  const auto own = RowsWhere(others, [&](const FleetRow* aRow) {
    return aRow->mEntry.mZone == aRequest.mOwnZone && aRow->mHealth.Allows(aNow);
  });
  return { own.empty() ? others : own, false, false };
}

void ZoneReachability::Prune(FleetTable& aTable, TimePoint aNow)
{
  for (auto& [name, zone] : mZones) {
    std::erase_if(zone.mFailures, [&](const auto& aEntry) {
      const auto* row = aTable.Find(aEntry.first);
      return row == nullptr || !row->IsOpen() ||
             row->mEntry.mIncarnationStart != aEntry.second.mIncarnationStart;
    });
    if (zone.mIsAvoided && zone.mFailures.empty()) {
      Open(name, zone);
    }
  }
  Judge(aNow);
}

std::vector<ServiceName> ZoneReachability::TakeCutOffServices()
{
  std::vector<ServiceName> services;
  for (auto& [service, wasTaken] : mCutOffServices) {
    if (!std::exchange(wasTaken, true)) {
      services.push_back(service);
    }
  }
  if (std::none_of(mZones.begin(), mZones.end(), [](const auto& aEntry) {
        return aEntry.second.mIsAvoided;
      })) {
    mCutOffServices.clear();
  }
  return services;
}

std::vector<ZoneReachability::Change> ZoneReachability::TakeChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace skylarkchute
