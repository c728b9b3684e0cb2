#pragma once

#include "../endpoints/EndpointPool.h"
#include "../peers/PeerMesh.h"
#include "../store/StoreMirror.h"

namespace skylarkchute {

/** Decodes what the mirror learns and gives it to the router, the pool and the mesh. */
class FleetSync
{
public:
  FleetSync(FleetRouter& aRouter, EndpointPool& aPool, const EventLog& aLog);

  /** Sets the mesh that learns of instances. */
  void SetMesh(PeerMesh* aMesh) { mMesh = aMesh; }

  /** Takes in one object that changed or was removed. */
  void OnObject(ObjectKind aKind, const StoreObject& aObject);

  /** Notes that the store failed this instance just now: entries may lapse without a reason. */
  void OnStoreFailure(TimePoint aNow) { mLastStoreFailure = aNow; }

private:
  void OnConfig(const StoreObject& aObject);
  void OnEndpoint(const StoreObject& aObject);
  void OnRollout(const StoreObject& aObject);
  void OnInstance(const StoreObject& aObject);
  void Ignore(ObjectKind aKind, const StoreObject& aObject);

  FleetRouter& mRouter;
  EndpointPool& mPool;
  const EventLog& mLog;
  PeerMesh* mMesh = nullptr;
  TimePoint mLastStoreFailure{};
};

} // namespace skylarkchute
