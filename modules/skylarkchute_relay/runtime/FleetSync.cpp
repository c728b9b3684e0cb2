#include "FleetSync.h"

#include "../events/RelayEvents.h"

namespace skylarkchute {

namespace {

std::string_view StateName(RolloutState aState)
{
  switch (aState) {
    case RolloutState::Running:
      return "running";
    case RolloutState::Completed:
      return "completed";
    case RolloutState::RolledBack:
      return "rolled-back";
  }
  return "running";
}

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

FleetSync::FleetSync(FleetRouter& aRouter, EndpointPool& aPool, const EventLog& aLog)
  : mRouter(aRouter)
  , mPool(aPool)
  , mLog(aLog)
{
}

void FleetSync::OnObject(ObjectKind aKind, const StoreObject& aObject)
{
  switch (aKind) {
    case ObjectKind::Config:
      OnConfig(aObject);
      return;
    case ObjectKind::Endpoints:
      OnEndpoint(aObject);
      return;
    case ObjectKind::Rollouts:
      OnRollout(aObject);
      return;
    case ObjectKind::Instances:
      OnInstance(aObject);
      return;
    case ObjectKind::Evacuations:
      OnEvacuation(aObject);
      return;
  }
}

void FleetSync::LogIgnored(ObjectKind aKind, const StoreObject& aObject)
{
  mLog.Write({ &kObjectIgnored,
               { { "kind", std::string(KindName(aKind)) },
                 { "name", aObject.mName },
                 { "revision", std::to_string(RevisionOf(aObject.mRevision)) } } });
}

void FleetSync::OnConfig(const StoreObject& aObject)
{
  if (aObject.mName != kConfigName || aObject.mIsDeleted) {
    return;
  }
  auto config = DecodeConfig(aObject);
  if (!config) {
    LogIgnored(ObjectKind::Config, aObject);
    return;
  }
  if (config->mVersion < ConfigVersion()) {
    return;
  }
  mConfigInForce = aObject;
  mConfigInForce->mValue = nullptr;
  mLog.Write({ &kConfigInForce,
               { { "version", std::to_string(config->mVersion) },
                 { "revision", std::to_string(RevisionOf(aObject.mRevision)) },
                 { "routes", std::to_string(config->mRoutes.size()) },
                 { "teams", std::to_string(config->mTeams.size()) },
                 { "keys", config->mRequiresKeys ? "required" : "not-required" } } });
  if (!config->mUnreadableRestrictions.empty()) {
    mLog.Write({ &kRestrictionUnreadable,
                 { { "version", std::to_string(config->mVersion) },
                   { "members", WriteList(config->mUnreadableRestrictions) } } });
  }
  mRouter.SetConfig(std::make_shared<const ConfigIndex>(std::move(*config)));
}

std::uint64_t FleetSync::ConfigVersion() const
{
  const auto& config = mRouter.Config();
  return config ? config->Config().mVersion : 0;
}

void FleetSync::OnEndpoint(const StoreObject& aObject)
{
  const EndpointId id(aObject.mName);
  const auto endpoint = aObject.mIsDeleted ? std::nullopt : DecodeEndpoint(aObject);
  if (!aObject.mIsDeleted && !endpoint) {
    LogIgnored(ObjectKind::Endpoints, aObject);
  }
  if (!endpoint) {
    const bool mayReturn = aObject.mIsDeleted && aObject.mMayHaveLapsed;
    mRouter.Endpoints().Remove(id, mayReturn, Now());
    if (!mayReturn) {
      mPool.CloseIdleConnections(id);
    }
  } else {
    mRouter.Endpoints().Upsert(*endpoint);
  }
  mLog.Write({ &kEndpointChanged,
               { { "endpoint", aObject.mName },
                 { "state",
                   !endpoint             ? "gone"
                   : endpoint->mDraining ? "draining"
                                         : "ready" },
                 { "service", endpoint ? endpoint->mService.Value() : "" },
                 { "version", endpoint ? endpoint->mVersion : "" },
                 { "address", endpoint ? endpoint->mAddress : "" } } });
}

void FleetSync::OnRollout(const StoreObject& aObject)
{
  if (aObject.mIsDeleted) {
    OnRolloutRemoved(aObject);
    return;
  }
  const auto order = DecodeRollout(aObject);
  if (!order) {
    LogIgnored(ObjectKind::Rollouts, aObject);
    return;
  }
  mRouter.Rollouts().OnOrder(*order, Now(), std::chrono::milliseconds(0));
  mLog.Write({ &kRolloutChanged,
               { { "service", order->mService.Value() },
                 { "target", order->mTarget },
                 { "state", std::string(StateName(order->mState)) },
                 { "period_ms", std::to_string(order->mPeriod.count()) } } });
}

/** An order that may be missing only since the store was away, or restored from a copy, stays in
    force: the operator writes it again. */
void FleetSync::OnRolloutRemoved(const StoreObject& aObject)
{
  if (aObject.mMayHaveLapsed) {
    return;
  }
  mRouter.Rollouts().OnOrderRemoved(ServiceName(aObject.mName));
  mLog.Write({ &kRolloutChanged, { { "service", aObject.mName }, { "state", "removed" } } });
}

/** Requests in progress in the zone go on; idle connections are closed, so that none is used for a
    request that was planned before. */
void FleetSync::OnEvacuation(const StoreObject& aObject)
{
  const ZoneName zone(aObject.mName);
  if (!mRouter.Endpoints().SetEvacuated(zone, !aObject.mIsDeleted)) {
    return;
  }
  std::size_t endpoints = 0;
  for (const auto& [id, row] : mRouter.Endpoints().All()) {
    if (row.mEntry.mZone == zone) {
      ++endpoints;
      if (!aObject.mIsDeleted) {
        mPool.CloseIdleConnections(id);
      }
    }
  }
  mLog.Write({ aObject.mIsDeleted ? &kEvacuationEnded : &kEvacuationBegun,
               { { "zone", zone.Value() }, { "endpoints", std::to_string(endpoints) } } });
}

void FleetSync::OnInstance(const StoreObject& aObject)
{
  if (mMesh == nullptr) {
    return;
  }
  if (const auto entry = aObject.mIsDeleted ? std::nullopt : DecodeInstance(aObject)) {
    mMesh->Introduce(*entry);
  }
}

} // namespace skylarkchute
