#pragma once

#include "../endpoints/EndpointPool.h"
#include "../peers/PeerMesh.h"
#include "../store/StoreMirror.h"

namespace skylarkchute {

/** Decodes the objects that change in the mirror and applies them to the router, the endpoint pool
    and the peer mesh. */
class FleetSync
{
public:
  FleetSync(FleetRouter& aRouter, EndpointPool& aPool, const EventLog& aLog);

  /** Sets the mesh that gets the instances; null for none. */
  void SetMesh(PeerMesh* aMesh) { mMesh = aMesh; }

  /** Applies one object that changed or was removed. An endpoint whose entry may have lapsed in an
      outage of the store is kept for FleetTable::kReregistrationPeriod; any other one that is
      removed has left and is dropped at once. */
  void OnObject(ObjectKind aKind, const StoreObject& aObject);

  /** Returns the object of the configuration in force, or nothing before there is one. The store
     may hold an older one. */
  const std::optional<StoreObject>& ConfigInForce() const { return mConfigInForce; }

  /** Returns the version of the configuration in force; zero before there is one. */
  std::uint64_t ConfigVersion() const;

private:
  void OnConfig(const StoreObject& aObject);
  void OnEndpoint(const StoreObject& aObject);
  void OnRollout(const StoreObject& aObject);
  void OnRolloutRemoved(const StoreObject& aObject);
  void OnInstance(const StoreObject& aObject);
  void OnEvacuation(const StoreObject& aObject);
  void LogIgnored(ObjectKind aKind, const StoreObject& aObject);

  FleetRouter& mRouter;
  EndpointPool& mPool;
  const EventLog& mLog;
  PeerMesh* mMesh = nullptr;
  std::optional<StoreObject> mConfigInForce;
};

} // namespace skylarkchute
