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

  /** Applies one object that changed or was removed. */
  void OnObject(ObjectKind aKind, const StoreObject& aObject);

  /** Sets whether the store is available to this instance. An endpoint that is missing from the
      first list after an outage may only have lost its entry in the outage, so it is kept for
      FleetTable::kReregistrationPeriod; one that is removed later has left and is dropped at
      once. */
  void SetStoreAvailable(bool aIsAvailable) { mIsStoreAvailable = aIsAvailable; }

private:
  void OnConfig(const StoreObject& aObject);
  void OnEndpoint(const StoreObject& aObject);
  void OnRollout(const StoreObject& aObject);
  void OnInstance(const StoreObject& aObject);
  void LogIgnored(ObjectKind aKind, const StoreObject& aObject);

  FleetRouter& mRouter;
  EndpointPool& mPool;
  const EventLog& mLog;
  PeerMesh* mMesh = nullptr;
  bool mIsStoreAvailable = true;
};

} // namespace skylarkchute
